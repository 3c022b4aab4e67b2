/** Tests the count of calls that go on after their callers have left, and runs a short trial of a gateway on a slow VM. */
import { describe, expect, it } from 'vitest';
import { countDepartures, runDepartures } from '../src/index.js';

const status = 0;

describe('countDepartures', () => {
  it.each([
    ['before the departure', 90, { reachedAfter: 0, reachedLate: 0 }],
    ['soon after it', 600, { reachedAfter: 1, reachedLate: 0 }],
    ['late', 601, { reachedAfter: 1, reachedLate: 1 }],
  ])('judges a call that reaches a server %s', (_, arrivedAt, counts) => {
    const run = {
      id: 'r',
      arrivedAt,
      dueAt: arrivedAt,
      cancelledAt: undefined,
    };
    const callers = [{ id: 'r', leftAt: 100, status }];
    expect(countDepartures(callers, [run])).toMatchObject(counts);
  });

  it.each([
    ['is cancelled in time', 600, { leftEarly: 1, wentOn: 0 }],
    ['is cancelled late', 601, { leftEarly: 1, wentOn: 1 }],
    ['is never cancelled', undefined, { leftEarly: 1, wentOn: 1 }],
  ])('judges a run that %s', (_, cancelledAt, counts) => {
    const run = { id: 'r', arrivedAt: 90, dueAt: 3_000, cancelledAt };
    const callers = [{ id: 'r', leftAt: 100, status }];
    expect(countDepartures(callers, [run])).toMatchObject(counts);
  });

  it('leaves out runs that would have ended by then, and callers that stayed', () => {
    const runs = [
      { id: 'r', arrivedAt: 90, dueAt: 600, cancelledAt: undefined },
      { id: 's', arrivedAt: 90, dueAt: 3_000, cancelledAt: undefined },
    ];
    const callers = [
      { id: 'r', leftAt: 100, status },
      { id: 's', status: 200 },
    ];
    expect(countDepartures(callers, runs)).toMatchObject({
      leftEarly: 0,
      answers: 1,
    });
  });
});

/** Calls that may reach a server late; the guarantee says that there are only a few. */
const maxReachedLate = 3;
const maxWentOnShare = 0.25;

// Guards against a gateway that falls behind and works for callers that have left.
it('a gateway with four tenths of a core sends on few calls whose callers have left', async () => {
  const result = await runDepartures({
    seed: 1,
    durationMs: 10_000,
    runMs: 40,
    callsPerSecond: 50,
    burst: 1_500,
    burstIntervalMs: 3_000,
    patienceMs: [200, 900],
    serverMs: 60,
  });
  const seen = JSON.stringify(result);
  expect(result.departures, seen).toBeGreaterThan(100);
  expect(result.reached, seen).toBeGreaterThan(20);
  expect(result.reachedLate, seen).toBeLessThanOrEqual(maxReachedLate);
  const mostGoOn = maxWentOnShare * result.leftEarly;
  expect(result.wentOn, seen).toBeLessThanOrEqual(mostGoOn);
});
