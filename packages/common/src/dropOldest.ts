/** Bounds tables whose entries are in the order of their age. */

/** Removes the entries that were added first while there are too many. */
export const dropOldest = <K>(
  table: Map<K, unknown>,
  maxEntries: number,
): void => {
  for (const key of table.keys()) {
    if (table.size <= maxEntries) {
      return;
    }
    table.delete(key);
  }
};
