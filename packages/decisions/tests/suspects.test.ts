/** Crashes are held against calls by their order, and suspected calls go to one server. */
import { describe, expect, it } from 'vitest';
import {
  SightingSet,
  Suspicion,
  UnservedCall,
  chooseSuspectServer,
  countSteps,
  isExplained,
  maxRestartMs,
  mayBeLastServer,
  type Sighting,
  type SuspectCrash,
} from '../src/index.js';

const createCrash = (
  sentAt: number,
  at: number,
  change: Partial<SuspectCrash> = {},
): SuspectCrash => ({
  at,
  sentAt,
  isOwn: true,
  requestId: `r${String(at)}`,
  servedAfterMs: Infinity,
  presence: 1,
  serviceCrashes: 1,
  ...change,
});

describe('countSteps', () => {
  it('counts servers that fail together once, whatever they run', () => {
    const joint = [0, 20, 60].map(sentAt => createCrash(sentAt, 100));
    expect(countSteps(joint)).toBe(1);
    expect(countSteps([...joint, createCrash(105, 200)])).toBe(2);
  });

  it('counts no order that late news may have made', () => {
    const late = [100, 400].map(at =>
      createCrash(at - 50, at, { isOwn: false }),
    );
    expect(countSteps(late)).toBe(1);
    expect(countSteps(late, 0)).toBe(2);
  });
});

describe('UnservedCall', () => {
  const policy = new UnservedCall();
  const series = [0, 4_000, 8_000].map(at => createCrash(at, at + 90));

  it('blames a call at its third crash, though nothing is answered and the id is the same', () => {
    const same = series.map(crash => ({ ...crash, requestId: 'd' }));
    expect(policy.decideSuspicion(same.slice(0, 2))).toBe(Suspicion.Suspected);
    expect(policy.decideSuspicion(same)).toBe(Suspicion.Blamed);
  });

  it('does not blame a call for three servers that fail together, or a few crashes of many', () => {
    const joint = [0, 10, 20].map(sentAt => createCrash(sentAt, 90));
    expect(policy.decideSuspicion(joint)).toBe(Suspicion.Suspected);
    const few = series.map(crash => ({ ...crash, serviceCrashes: 40 }));
    expect(policy.decideSuspicion(few)).toBe(Suspicion.Suspected);
  });

  it('repeats a new call once, and not one that comes again', () => {
    const [first, second] = series as [SuspectCrash, SuspectCrash];
    const mayRepeat = (crashes: SuspectCrash[], id: string): boolean =>
      policy.mayRepeat(Suspicion.Suspected, crashes, id);
    expect(mayRepeat([first], first.requestId)).toBe(true);
    expect(mayRepeat([first, second], second.requestId)).toBe(false);
  });

  it('allows two trials', () => {
    const trials = [0, 1, 2].map(count => policy.computeTrialInterval(count));
    expect(trials).toEqual([60_000, 600_000, Infinity]);
  });
});

describe('isExplained', () => {
  it('tells a deadly call from one that was beside it twice', () => {
    const deadly = { crashCount: 3, isBlamed: false };
    const bystander = { crashCount: 2, isBlamed: false };
    expect(isExplained(bystander, [deadly, bystander])).toBe(true);
    expect(isExplained(deadly, [deadly, bystander])).toBe(false);
  });
});

describe('SightingSet', () => {
  const sighting: Sighting = {
    crash: 'a#1',
    requestId: 'r2',
    at: 1_000,
    sentAt: 900,
    clearedAt: undefined,
    isOwn: true,
  };

  it('takes the time that the server ran the call from news, not their delay', () => {
    const sightings = new SightingSet(8);
    const news = { requestId: 'r1', at: 1_400, sentAt: 1_350, isOwn: false };
    sightings.join(sighting);
    sightings.join({ ...sighting, ...news });
    const [joined] = sightings.listLive();
    expect(joined).toMatchObject({ requestId: 'r1', at: 1_000, sentAt: 950 });
  });

  it('clears one crash for good', () => {
    const sightings = new SightingSet(8);
    sightings.join(sighting);
    sightings.join({ ...sighting, crash: 'b#1' });
    expect(sightings.clearCrash('a#1', 2_000)).toBe(true);
    expect(sightings.clearCrash('a#1', 3_000)).toBe(false);
    sightings.join(sighting);
    expect(sightings.listLive().map(({ crash }) => crash)).toEqual(['b#1']);
  });
});

describe('chooseSuspectServer', () => {
  const choice = {
    suspectId: 'call',
    servers: ['a', 'b', 'c'],
    living: 3,
    total: 3,
    sinceCrashMs: 100,
  };

  it('chooses the same server in any order, and another one when it is gone', () => {
    const chosen = chooseSuspectServer(choice);
    const servers = [...choice.servers].reverse();
    expect(chooseSuspectServer({ ...choice, servers })).toBe(chosen);
    const others = servers.filter(server => server !== chosen);
    expect(others).toContain(
      chooseSuspectServer({ ...choice, servers: others }),
    );
  });

  it('keeps the last living server for other calls until the others should be back', () => {
    const last = { ...choice, servers: ['a'], living: 1 };
    expect(chooseSuspectServer(last)).toBeUndefined();
    expect(chooseSuspectServer({ ...last, total: 1 })).toBe('a');
    const sinceCrashMs = maxRestartMs;
    expect(chooseSuspectServer({ ...last, sinceCrashMs })).toBe('a');
  });
});

describe('mayBeLastServer', () => {
  it('holds calls of services that a deadly call may have brought down to one server', () => {
    expect([1, 2, 4, 5].map(usable => mayBeLastServer(usable, 5))).toEqual([
      true,
      true,
      true,
      false,
    ]);
  });

  it('holds nothing for a service of one server, which has no other to wait for', () => {
    expect(mayBeLastServer(1, 1)).toBe(false);
  });
});
