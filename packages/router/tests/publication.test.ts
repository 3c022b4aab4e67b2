/** Concurrent publications report what took effect, even if calls of the log fail or lose responses. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ErrorKind, type Result } from '@lycheetally/common';
import {
  ConfigVerdict,
  type ConfigDecision,
  type RouterConfiguration,
} from '@lycheetally/decisions';
import {
  ConfigPublisher,
  ManualClock,
  type PublicationResult,
} from '../src/index.js';
import { FakeLog, LogFault } from './fakeLog.js';

const buildConfiguration = (targetMs: number): RouterConfiguration => ({
  version: 1,
  ranks: [{ name: 'family', urgency: 0, floor: 0.5, targetMs }],
  accounts: [],
  services: [],
});

/** Runs the clock until every promise has settled. */
const runAll = async <T>(
  clock: ManualClock,
  pending: readonly Promise<T>[],
): Promise<T[]> => {
  const progress = { settled: 0 };
  const counted = pending.map(async each => {
    const value = await each;
    progress.settled += 1;
    return value;
  });
  while (progress.settled < pending.length) {
    clock.advance(100);
    await new Promise(resolve => setImmediate(resolve));
  }
  return Promise.all(counted);
};

const readAll = async (log: FakeLog): Promise<readonly ConfigDecision[]> => {
  log.nextFault = () => LogFault.None;
  log.flush();
  const publisher = new ConfigPublisher(log, new ManualClock(), 'reader');
  return (await publisher.read()).unwrap().decisions;
};

const listAccepted = (decisions: readonly ConfigDecision[]): ConfigDecision[] =>
  decisions.filter(({ verdict }) => verdict === ConfigVerdict.Accepted);

const countSuccesses = (
  results: readonly Result<PublicationResult>[],
): number => results.filter(result => result.ok).length;

describe('publications', () => {
  it('accept one of 50 concurrent changes and fail the other 49 with a conflict', async () => {
    const log = new FakeLog();
    const clock = new ManualClock();
    const results = await runAll(
      clock,
      Array.from({ length: 50 }, (_, index) =>
        new ConfigPublisher(log, clock, `operator-${String(index)}`).publish(
          buildConfiguration(index + 1),
          0,
        ),
      ),
    );
    expect(countSuccesses(results)).toBe(1);
    for (const result of results) {
      if (result.err) {
        expect(result.val.kind).toBe(ErrorKind.ConfigConflict);
        expect(result.val.message).toMatch(
          /version 1 by operator-\d+ is current/,
        );
      }
    }
    expect(listAccepted(await readAll(log))).toHaveLength(1);
  });

  it('report what took effect when calls of the log fail, are late or lose responses', async () => {
    const seen = { accepted: 0, conflict: 0, unsettled: 0 };
    await fc.assert(
      fc.asyncProperty(
        fc.array(
          fc.oneof(
            { weight: 5, arbitrary: fc.constant(LogFault.None) },
            {
              weight: 4,
              arbitrary: fc.constantFrom(
                LogFault.Down,
                LogFault.AnswerLost,
                LogFault.Late,
              ),
            },
          ),
          { minLength: 10, maxLength: 60 },
        ),
        fc.integer({ min: 1, max: 6 }),
        async (faults, operators) => {
          let call = 0;
          const log = new FakeLog(() => {
            call += 1;
            return faults[call % faults.length] ?? LogFault.None;
          });
          const clock = new ManualClock();
          const results = await runAll(
            clock,
            Array.from({ length: operators }, (_, index) =>
              new ConfigPublisher(
                log,
                clock,
                `author-${String(index)}`,
              ).publish(buildConfiguration(index + 1)),
            ),
          );
          const accepted = listAccepted(await readAll(log));
          const versions = accepted.map(
            each => each.state?.configuration.version,
          );
          expect(versions).toEqual(versions.map((_, index) => index + 1));
          results.forEach((result, index) => {
            const author = `author-${String(index)}`;
            const mine = accepted.filter(
              ({ change }) => change?.author === author,
            );
            expect(mine.length).toBeLessThanOrEqual(1);
            if (result.ok) {
              expect(mine).toHaveLength(1);
              seen.accepted += 1;
            } else if (result.val.kind === ErrorKind.ConfigConflict) {
              expect(mine).toHaveLength(0);
              seen.conflict += 1;
            } else {
              seen.unsettled += 1;
            }
          });
        },
      ),
      { seed: 62, numRuns: 150 },
    );
    expect(
      Math.min(seen.accepted, seen.conflict, seen.unsettled),
    ).toBeGreaterThan(5);
  });

  it('report a change as accepted when the log answers no read for seconds after its append', async () => {
    let calls = 0;
    const failingCalls = 30;
    const log = new FakeLog(() => {
      calls += 1;
      const [appendCall, firstFailing] = [2, 3];
      if (calls === appendCall) {
        return LogFault.AnswerLost;
      }
      return calls >= firstFailing && calls < firstFailing + failingCalls
        ? LogFault.Down
        : LogFault.None;
    });
    const clock = new ManualClock();
    const publisher = new ConfigPublisher(log, clock, 'operator');
    const [result] = await runAll(clock, [
      publisher.publish(buildConfiguration(1)),
    ]);
    expect(result?.unwrap().state.configuration.version).toBe(1);
    expect(log.records).toHaveLength(1);
  });

  it('publish the contents of an earlier version as a new one', async () => {
    const log = new FakeLog();
    const clock = new ManualClock();
    const publisher = new ConfigPublisher(log, clock, 'operator');
    await runAll(clock, [publisher.publish(buildConfiguration(100))]);
    await runAll(clock, [publisher.publish(buildConfiguration(200))]);
    const [rolledBack] = await runAll(clock, [
      publisher.publishEarlierVersion(1),
    ]);
    const state = rolledBack?.unwrap().state;
    expect(state?.configuration).toEqual({
      ...buildConfiguration(100),
      version: 3,
    });
    const [missing] = await runAll(clock, [publisher.publishEarlierVersion(9)]);
    expect(missing?.err && missing.val.kind).toBe(ErrorKind.Usage);
  });

  it('refuse an invalid configuration and report every fault', async () => {
    const log = new FakeLog();
    const clock = new ManualClock();
    const wanted = {
      ...buildConfiguration(100),
      services: [
        {
          name: 'stock',
          kind: 'plain',
          layers: 3,
          idempotent: true,
          accounts: ['nobody'],
        },
      ],
    } as const;
    const publisher = new ConfigPublisher(log, clock, 'operator');
    const [refused] = await runAll(clock, [publisher.publish(wanted)]);
    expect(refused?.err && refused.val.kind).toBe(ErrorKind.BadSetting);
    expect(refused?.err && refused.val.message).toMatch(/accounts.*layers/);
    expect(log.records).toHaveLength(0);
  });
});
