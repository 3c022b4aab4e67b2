/** Parts of prompts that crash servers are found and refused; sound ones are not. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { firstTrialMs, trialIntervalMs } from '@lycheetally/decisions';
import {
  CrashSuspectTracker,
  TraitKind,
  maxTrackedSuspects,
  type TracedCall,
} from '../src/index.js';
import { VirtualTime, createTracker } from './crashEmulator.js';

/** One gateway or several that share a virtual time. */
class Gateways {
  readonly time = new VirtualTime();
  readonly trackers: CrashSuspectTracker[];
  private crashes = 0;
  private requests = 0;

  constructor(count: number) {
    this.trackers = Array.from({ length: count }, (_, index) =>
      createTracker(this.time, `gateway-${String(index)}`),
    );
  }

  get(index: number): CrashSuspectTracker {
    const tracker = this.trackers[index];
    if (!tracker) {
      throw new Error(`there is no gateway ${String(index)}`);
    }
    return tracker;
  }

  createCall(...parts: string[]): TracedCall {
    this.requests += 1;
    return { requestId: `r${String(this.requests)}`, service: 'model', parts };
  }

  isAllowed(index: number, ...parts: string[]): boolean {
    const call = this.createCall(...parts);
    return this.get(index).decideFirstAttempt(call, this.time.now).isAllowed;
  }

  serve(index: number, ...parts: string[]): void {
    this.get(index).noteServed(this.createCall(...parts), this.time.now);
  }

  cutServer(index: number, ...parts: string[]): void {
    this.crashes += 1;
    const server = { serverId: `s${String(this.crashes)}`, incarnation: 1 };
    const call = this.createCall(...parts);
    this.get(index).noteBroken(call, server, this.time.now);
  }

  exchange(from: number, to: number): void {
    const records = this.get(from).listRecords(this.time.now);
    this.get(to).mergeRecords(records, this.time.now);
  }

  advance(durationMs: number): void {
    this.time.run(this.time.now + durationMs);
  }

  /** Lets a part crash three servers while other calls are served. */
  cutServers(index: number, part: string): void {
    for (let crash = 0; crash < 3; crash += 1) {
      this.cutServer(index, 'shared', part);
      this.advance(600);
      this.serve(index, 'shared', 'sound');
    }
  }
}

describe('CrashSuspectTracker', () => {
  it('refuses calls with a part that crashed three servers, and no others', () => {
    const gateways = new Gateways(1);
    gateways.cutServer(0, 'shared', 'bad');
    gateways.advance(600);
    gateways.serve(0, 'shared', 'sound');
    expect(gateways.isAllowed(0, 'shared', 'bad')).toBe(true);
    gateways.cutServers(0, 'bad');
    expect(gateways.isAllowed(0, 'shared', 'bad')).toBe(false);
    expect(gateways.isAllowed(0, 'shared', 'sound')).toBe(true);
    expect(
      gateways
        .get(0)
        .listRefused()
        .map(({ trait }) => trait.id),
    ).toEqual(['bad']);
  });

  it('does not repeat a call that crashed two servers, and repeats one beside it', () => {
    const gateways = new Gateways(1);
    const call = gateways.createCall('shared', 'bad');
    const beside = gateways.createCall('shared', 'sound');
    const tracker = gateways.get(0);
    const { time } = gateways;
    tracker.noteBroken(call, { serverId: 'a', incarnation: 1 }, time.now);
    expect(tracker.decideRepeat(call, time.now).isAllowed).toBe(true);
    gateways.advance(100);
    tracker.noteBroken(call, { serverId: 'b', incarnation: 1 }, time.now);
    tracker.noteBroken(beside, { serverId: 'b', incarnation: 1 }, time.now);
    expect(tracker.decideRepeat(call, time.now).isAllowed).toBe(false);
    expect(tracker.decideRepeat(beside, time.now).isAllowed).toBe(true);
  });

  it('blames the part that explains the crashes, not a rare one beside it', () => {
    const gateways = new Gateways(1);
    gateways.cutServer(0, 'bad');
    gateways.advance(600);
    for (let crash = 0; crash < 3; crash += 1) {
      gateways.cutServer(0, 'bad', 'rare');
      gateways.advance(600);
      gateways.serve(0, 'sound');
    }
    gateways.isAllowed(0, 'bad', 'rare');
    gateways.cutServer(0, 'other', 'rare');
    expect(gateways.isAllowed(0, 'rare')).toBe(true);
    expect(gateways.isAllowed(0, 'bad')).toBe(false);
  });

  it('learns all verdicts from one gateway after a restart', () => {
    const gateways = new Gateways(2);
    gateways.cutServers(0, 'bad');
    expect(gateways.isAllowed(0, 'bad')).toBe(false);
    expect(gateways.isAllowed(1, 'bad')).toBe(true);
    gateways.exchange(0, 1);
    expect(gateways.isAllowed(1, 'bad')).toBe(false);
  });

  it('clears a part everywhere when one gateway saw an answer on it', () => {
    const gateways = new Gateways(3);
    gateways.cutServers(0, 'bad');
    gateways.isAllowed(0, 'bad');
    gateways.exchange(0, 1);
    gateways.exchange(0, 2);
    const before = gateways.get(1).revision;
    gateways.serve(1, 'bad');
    expect(gateways.get(1).revision).toBeGreaterThan(before);
    gateways.exchange(1, 2);
    // Older news must not bring the verdict back.
    gateways.exchange(0, 2);
    gateways.exchange(2, 0);
    for (const index of [0, 1, 2]) {
      expect(gateways.isAllowed(index, 'bad')).toBe(true);
      expect(gateways.get(index).countRefused(TraitKind.PromptPart)).toBe(0);
    }
  });

  it('tries a refused part with one call of one gateway, more rarely each time', () => {
    const gateways = new Gateways(5);
    gateways.cutServers(0, 'bad');
    gateways.isAllowed(0, 'bad');
    const exchangeAll = (): void => {
      [1, 2, 3, 4].forEach(to => {
        gateways.exchange(0, to);
      });
    };
    exchangeAll();
    const tried: number[] = [];
    for (let elapsed = 0; elapsed < 4 * trialIntervalMs; elapsed += 1_000) {
      gateways.advance(1_000);
      for (const index of [4, 3, 2, 1, 0]) {
        if (gateways.isAllowed(index, 'bad')) {
          tried.push(elapsed);
          gateways.cutServer(index, 'bad');
          gateways.exchange(index, 0);
          exchangeAll();
        }
      }
    }
    expect(tried).toHaveLength(3);
    expect(tried[0]).toBeGreaterThan(firstTrialMs - 2_000);
    gateways.advance(4 * trialIntervalMs);
    expect(gateways.isAllowed(0, 'bad')).toBe(true);
    expect(gateways.isAllowed(0, 'bad')).toBe(false);
    gateways.serve(0, 'bad');
    expect(gateways.isAllowed(0, 'bad')).toBe(true);
  });

  it('tries a part although the gateway that saw the crashes is gone', () => {
    const gateways = new Gateways(2);
    gateways.cutServers(0, 'bad');
    gateways.isAllowed(0, 'bad');
    gateways.exchange(0, 1);
    gateways.advance(trialIntervalMs);
    expect(gateways.isAllowed(1, 'bad')).toBe(false);
    gateways.advance(2 * trialIntervalMs);
    expect(gateways.isAllowed(1, 'bad')).toBe(true);
  });

  it('keeps within its limit under a flood of parts, and keeps the worst ones', () => {
    const gateways = new Gateways(1);
    gateways.cutServers(0, 'bad');
    expect(gateways.isAllowed(0, 'bad')).toBe(false);
    gateways.cutServer(0, 'bad2');
    gateways.advance(600);
    gateways.cutServer(0, 'bad2');
    for (let call = 0; call < maxTrackedSuspects / 4; call += 1) {
      const parts = Array.from(
        { length: 40 },
        (_, part) => `p${String(call)}-${String(part)}`,
      );
      gateways.serve(0, ...parts);
      expect(
        gateways.get(0).countTracked(TraitKind.PromptPart),
      ).toBeLessThanOrEqual(maxTrackedSuspects);
      gateways.cutServer(0, ...parts, 'x'.repeat(10_000));
      gateways.advance(100);
    }
    expect(gateways.get(0).countTracked(TraitKind.PromptPart)).toBeGreaterThan(
      maxTrackedSuspects / 2,
    );
    expect(gateways.isAllowed(0, 'bad')).toBe(false);
    gateways.advance(600);
    gateways.cutServer(0, 'bad2');
    gateways.advance(100);
    gateways.serve(0, 'sound');
    expect(gateways.isAllowed(0, 'bad2')).toBe(false);
  });
});

describe('records of several gateways', () => {
  const step = fc.record({
    gateway: fc.nat(2),
    to: fc.nat(2),
    kind: fc.constantFrom('crash', 'crash', 'serve', 'send', 'repeat'),
    server: fc.nat(5),
    afterMs: fc.nat(400),
  });

  it('agree in the end, whatever was sent, repeated or lost before', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), steps => {
        const gateways = new Gateways(3);
        let sent: ReturnType<CrashSuspectTracker['listRecords']> = [];
        for (const { gateway, to, kind, server, afterMs } of steps) {
          gateways.advance(afterMs);
          const { now } = gateways.time;
          const tracker = gateways.get(gateway);
          const call = gateways.createCall('a', `b${String(server % 2)}`);
          if (kind === 'crash') {
            const run = { serverId: `s${String(server)}`, incarnation: 1 };
            tracker.noteBroken(call, run, now);
          } else if (kind === 'serve') {
            tracker.noteServed(call, now);
          } else if (kind === 'send') {
            sent = tracker.listRecords(now);
          } else {
            gateways.get(to).mergeRecords(sent, now);
          }
        }
        for (const [from, to] of [
          [0, 1],
          [1, 2],
          [2, 1],
          [1, 0],
          [2, 0],
        ] as const) {
          gateways.exchange(from, to);
        }
        const views = gateways.trackers.map(tracker => describeLive(tracker));
        expect(views[1]).toEqual(views[0]);
        expect(views[2]).toEqual(views[0]);
        const before = describeLive(gateways.get(0));
        gateways.exchange(0, 0);
        expect(describeLive(gateways.get(0))).toEqual(before);
      }),
      { seed: 5, numRuns: 300 },
    );
  });

  /** The uncleared crashes of each part, with the call that stands for each. */
  const describeLive = (tracker: CrashSuspectTracker): string[] =>
    tracker
      .listRecords(0)
      .filter(({ servedAgeMs }) => servedAgeMs === undefined)
      .flatMap(({ part, sightings }) =>
        sightings.map(
          ({ crash, requestId }) => `${part} ${crash} ${requestId}`,
        ),
      )
      .sort();
});
