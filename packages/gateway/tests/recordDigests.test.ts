/** Tests which records of prompt parts count as changed. */
import { describe, expect, it } from 'vitest';
import type { SuspectRecord } from '../src/suspects/suspectTracker.js';
import { SentRecords, computeDigest } from '../src/suspects/recordDigests.js';

const createRecord = (
  part: string,
  crashes: readonly string[],
  ageMs = 0,
): SuspectRecord => ({
  service: 'desk',
  part,
  sightings: crashes.map(crash => ({ crash, requestId: 'r', ageMs })),
});

describe('records of prompt parts', () => {
  it('have the same digest in any order and at any age', () => {
    const a = [createRecord('a', ['1', '2']), createRecord('b', ['3'])];
    const b = [createRecord('b', ['3'], 9), createRecord('a', ['2', '1'], 7)];
    expect(computeDigest(a)).toBe(computeDigest(b));
    expect(computeDigest(a)).not.toBe(computeDigest(a.slice(1)));
  });

  it('are sent again only after a change', () => {
    const sent = new SentRecords();
    const first = [createRecord('a', ['1']), createRecord('b', ['1'])];
    expect(sent.filterChanged(first)).toEqual(first);
    sent.keepAll(first);
    expect(sent.filterChanged(first)).toEqual([]);
    const changed = createRecord('b', ['1', '2']);
    expect(sent.filterChanged([createRecord('a', ['1']), changed])).toEqual([
      changed,
    ]);
  });

  it('of another gateway are not sent back, but what it does not know is sent', () => {
    const sent = new SentRecords();
    const own = createRecord('own', ['1']);
    const both = createRecord('both', ['1', '2']);
    sent.keepMerged(
      [own, createRecord('both', ['1'])],
      [own, both, createRecord('theirs', ['3'])],
    );
    expect(
      sent.filterChanged([own, both, createRecord('theirs', ['3'])]),
    ).toEqual([own, both]);
  });
});
