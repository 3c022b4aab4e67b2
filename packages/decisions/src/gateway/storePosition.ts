/**
 * Positions in the log of a store's table.
 *
 * A store that comes back from an older copy begins a new era and gives offsets out
 * again, so an offset says nothing beside one of another era.
 */
export interface StorePosition {
  /** Number of the store's history; a later one replaces the earlier ones. */
  readonly era: number;
  readonly offset: number;
}

/** Before every record. */
export const storeStart: StorePosition = { era: 0, offset: 0 };

/** Orders by era, then by offset: negative when `a` is before `b`. */
export const comparePositions = (a: StorePosition, b: StorePosition): number =>
  a.era - b.era || a.offset - b.offset;

/** Returns the position some records on; before the position when negative. */
export const advancePosition = (
  { era, offset }: StorePosition,
  records: number,
): StorePosition => ({ era, offset: offset + records });
