/** Which of two entries of a server in the list counts. */
import { comparePositions, type StorePosition } from './storePosition.js';
import type { BackendRecord } from './types.js';

/** An entry of the server list. */
export interface ServerEntry {
  readonly record: BackendRecord;
  readonly position: StorePosition;
}

/**
 * The order of the log decides which entry is newer: the start times of a server's
 * incarnations may step back.
 */
export const isNewerEntry = (entry: ServerEntry, known: ServerEntry): boolean =>
  comparePositions(entry.position, known.position) > 0;

/**
 * Whether an entry of a complete list came back with an older copy of the store, though
 * the server has announced something newer since. What is read as a change was written
 * after the store came back.
 */
export const isCopiedEntry = (
  entry: ServerEntry,
  known: ServerEntry,
): boolean =>
  entry.position.era > known.position.era &&
  !isLaterAnnouncement(entry.record, known.record);

const isLaterAnnouncement = (
  record: BackendRecord,
  known: BackendRecord,
): boolean =>
  record.incarnation === known.incarnation
    ? record.sequence > known.sequence
    : record.incarnation > known.incarnation;
