/** What a gateway takes in from others costs by what they tell, and not by all that it knows. */
import { expect, it } from 'vitest';
import { CrashSuspectTracker } from '../src/suspects/crashSuspectTracker.js';
import type { SuspectRecord } from '../src/suspects/suspectTracker.js';
import { createTracker } from './crashEmulator.js';
import { ManualTimers } from './manualTimers.js';

const createRecord = (at: number): SuspectRecord => ({
  service: 'desk',
  part: `part-${String(at)}`,
  sightings: [
    { crash: `i-${String(at)}#1`, requestId: `r-${String(at)}`, ageMs: 10 },
  ],
});

const createFullTracker = (): CrashSuspectTracker => {
  const tracker = createTracker(new ManualTimers(), 'gateway-1');
  const records = Array.from({ length: 100 }, (_, at) => createRecord(at));
  tracker.mergeRecords(records, 0);
  return tracker;
};

// Guards against messages of other gateways that have all records listed.
it('lists the records of the suspects that a message names', () => {
  const tracker = createFullTracker();
  const all = tracker.listRecords(0);
  expect(all.length).toBe(100);
  const names = [createRecord(3), createRecord(3), createRecord(200)];
  const listed = tracker.listRecordsOf(names, 0);
  expect(listed).toEqual(all.filter(({ part }) => part === 'part-3'));
  tracker.dispose();
});

it('has records as long as it lists some', () => {
  const empty = createTracker(new ManualTimers(), 'gateway-1');
  const full = createFullTracker();
  expect(empty.hasRecords(0)).toBe(false);
  expect(full.hasRecords(0)).toBe(true);
  empty.dispose();
  full.dispose();
});
