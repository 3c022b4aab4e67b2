/** Tests how a gateway divides the platform's grace period. */
import { describe, expect, it } from 'vitest';
import { millisecondsPerSecond } from '@lycheetally/common';
import { DrainPeriod } from '../src/calls/drainPeriod.js';

const maxGraceSeconds = 60;

describe('a drain period', () => {
  it('cuts calls in the last sixth of any grace period only, and leaves time for the exit', () => {
    for (let seconds = 1; seconds <= maxGraceSeconds; seconds += 1) {
      const graceMs = seconds * millisecondsPerSecond;
      const period = new DrainPeriod();
      period.begin(0, graceMs);
      expect(period.timeoutAt).toBeGreaterThan((graceMs * 5) / 6);
      expect(period.lastStreamsAt).toBeLessThan(period.exitAt);
      expect(period.exitAt).toBeLessThan(graceMs);
    }
  });
});
