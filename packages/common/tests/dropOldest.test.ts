/** A bounded table keeps its newest entries. */
import { expect, it } from 'vitest';
import { dropOldest } from '../src/index.js';

it.each([
  [4, ['a', 'b', 'c']],
  [3, ['a', 'b', 'c']],
  [2, ['b', 'c']],
  [0, []],
])('a table of three entries with room for %d keeps %j', (room, kept) => {
  const table = new Map([
    ['a', 1],
    ['b', 2],
    ['c', 3],
  ]);
  dropOldest(table, room);
  expect([...table.keys()]).toEqual(kept);
});
