/** A collapse of the fleet holds back no retries, and does not hide a call that crashes servers. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  CallIdentity,
  CrashSuspectTracker,
  bindSuspectChart,
  type TracedCall,
} from '../src/index.js';
import { UnservedCall, UnservedPart } from '@lycheetally/decisions';
import { getOrThrow, LogComponent } from '@lycheetally/common';
import { VirtualTime } from './crashEmulator.js';
import { createQuietLoggers } from './quietLoggers.js';

const service = 'desk';
const total = 58;
const openCalls = 88;

let time: VirtualTime;
let tracker: CrashSuspectTracker;
let away: string[];

beforeEach(() => {
  time = new VirtualTime();
  away = [];
  tracker = new CrashSuspectTracker({
    machine: getOrThrow(bindSuspectChart()),
    timers: time,
    log: createQuietLoggers().createLogger(LogComponent.Prompts),
    policies: { part: new UnservedPart(), call: new UnservedCall() },
    gatewayId: 'gateway-1',
    describeFleet: () => ({ total, troubled: away }),
  });
});

afterEach(() => {
  tracker.dispose();
});

const createCall = (key: string): TracedCall => ({
  requestId: key,
  service,
  parts: [],
  identity: new CallIdentity({
    method: 'POST',
    target: '/talk',
    account: 'account',
    parts: [],
    body: Buffer.from(key),
  }),
});

const calls = Array.from({ length: openCalls }, (_, at) =>
  createCall(`call-${String(at)}`),
);

const cutAt = (call: TracedCall, server: number, incarnation = 1): void => {
  const serverId = `i-${String(server)}`;
  const sentAt = time.now - 90;
  tracker.noteBroken(call, { serverId, incarnation, sentAt }, time.now);
};

const advance = (durationMs: number): void => {
  time.run(time.now + durationMs);
};

const listRepeated = (): readonly TracedCall[] =>
  calls.filter(call => tracker.decideRepeat(call, time.now).isAllowed);

/** Crashes two servers with all calls, then has others reset what was sent again, while many are silent. */
const runCollapse = (silent: number): void => {
  advance(1_000);
  calls.forEach((call, at) => {
    cutAt(call, at % 2);
  });
  advance(300);
  away = Array.from({ length: silent }, (_, at) => `i-${String(at + 20)}`);
  advance(200);
  calls.forEach((call, at) => {
    cutAt(call, 2 + (at % 10));
  });
};

describe('a collapse of the fleet', () => {
  // Guards against 88 calls that were suspected, and not sent again, since servers were lost around them.
  it('holds back no retry', () => {
    runCollapse(34);
    expect(listRepeated().length).toBe(openCalls);
    expect(calls.every(call => tracker.mayRunTwice(call))).toBe(true);
    expect(tracker.list().filter(({ isDoubted }) => isDoubted)).toEqual([]);
  });

  it('excuses no call for the loss of a few servers', () => {
    advance(1_000);
    const [call] = calls;
    if (call) {
      cutAt(call, 0);
      advance(500);
      cutAt(call, 1);
      expect(tracker.decideRepeat(call, time.now).isAllowed).toBe(false);
      expect(tracker.mayRunTwice(call)).toBe(false);
    }
  });

  it('does not excuse a call after its third crash', () => {
    runCollapse(34);
    const deadly = createCall('deadly');
    const sends = [0, 1, 2, 3, 4, 5].filter(at => {
      const isFirst = at === 0;
      const decision = isFirst
        ? tracker.decideFirstAttempt(deadly, time.now)
        : tracker.decideRepeat(deadly, time.now);
      if (decision.isAllowed) {
        advance(400);
        cutAt(deadly, 40 + at);
      }
      return decision.isAllowed;
    });
    expect(sends).toEqual([0, 1, 2]);
  });

  it('counts for nothing once it is over', () => {
    runCollapse(34);
    advance(1_000);
    away = [];
    calls.forEach(call => {
      tracker.noteServed(call, time.now);
    });
    advance(10_000);
    const [call] = calls;
    if (call) {
      cutAt(call, 50);
      advance(500);
      cutAt(call, 51);
      expect(tracker.decideRepeat(call, time.now).isAllowed).toBe(false);
    }
  });
});
