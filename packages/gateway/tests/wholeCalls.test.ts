/** Requests that come again and crash servers are known by their content, refused, tried rarely and cleared. */
import { describe, expect, it } from 'vitest';
import {
  CallIdentity,
  CrashSuspectTracker,
  TraitKind,
  maxTrackedCalls,
  maxTrackedSuspects,
  type CallContent,
  type Placement,
  type TracedCall,
} from '../src/index.js';
import { VirtualTime, createTracker } from './crashEmulator.js';

const service = 'desk';

/** Time from the sending of a call to the crash. */
const runMs = 90;

const createIdentity = (change: Partial<CallContent> = {}): CallIdentity =>
  new CallIdentity({
    method: 'POST',
    target: '/look?a=1',
    account: 'account-1',
    parts: ['aa'],
    body: Buffer.from('body'),
    ...change,
  });

/** Counts how often the digest of a call is asked for. */
class CountedIdentity extends CallIdentity {
  digests = 0;

  override get id(): string {
    this.digests += 1;
    return super.id;
  }
}

class Fleet {
  readonly time = new VirtualTime();
  readonly gateways: CrashSuspectTracker[] = [];
  private requests = 0;
  private incarnation = 1;

  constructor(count: number) {
    for (let at = 0; at < count; at += 1) {
      this.addGateway();
    }
  }

  addGateway(): CrashSuspectTracker {
    const id = `gateway-${String(this.gateways.length)}`;
    const tracker = createTracker(this.time, id);
    this.gateways.push(tracker);
    return tracker;
  }

  get(at: number): CrashSuspectTracker {
    const tracker = this.gateways[at];
    if (!tracker) {
      throw new Error(`there is no gateway ${String(at)}`);
    }
    return tracker;
  }

  createCall(body: string, parts: readonly string[] = []): TracedCall {
    this.requests += 1;
    const requestId = `r${String(this.requests)}`;
    const identity = createIdentity({ body: Buffer.from(body), parts });
    return { requestId, service, parts, identity };
  }

  isAllowed(at: number, body: string): boolean {
    const call = this.createCall(body);
    return this.get(at).decideFirstAttempt(call, this.time.now).isAllowed;
  }

  /** Sends the call, whose server crashes with it, and tells all gateways. */
  crash(at: number, call: TracedCall, serverId = 's1'): void {
    const sentAt = this.time.now;
    this.advance(runMs);
    this.incarnation += 1;
    const attempt = { serverId, incarnation: this.incarnation, sentAt };
    this.get(at).noteBroken(call, attempt, this.time.now);
    this.sendToAll(at);
  }

  sendToAll(from: number): void {
    const records = this.get(from).listRecords(this.time.now);
    this.gateways.forEach(tracker => {
      tracker.mergeRecords(records, this.time.now);
    });
  }

  advance(durationMs: number): void {
    this.time.run(this.time.now + durationMs);
  }

  /** Sends the call at the gateways in turn until it has crashed three servers. */
  crashThree(body: string): void {
    for (let sent = 0; sent < 3; sent += 1) {
      this.crash(sent % this.gateways.length, this.createCall(body));
      this.advance(1_000);
    }
  }

  place(at: number, call: TracedCall, living: readonly string[]): Placement {
    const usable = living.map(serverId => ({ serverId, incarnation: 1 }));
    const choice = { candidates: usable, usable, total: 3 };
    return this.get(at).choosePlacement(call, choice, this.time.now);
  }
}

describe('the identity of a call', () => {
  it('is that of the same content, and of no other', () => {
    const { id, outline } = createIdentity();
    expect(createIdentity().id).toBe(id);
    for (const change of [
      { method: 'PUT' },
      { target: '/look?a=2' },
      { account: 'account-2' },
      { parts: ['ab'] },
      { body: Buffer.from('bodies') },
      { body: Buffer.alloc(0) },
    ]) {
      expect(createIdentity(change).id).not.toBe(id);
      expect(createIdentity(change).outline).not.toBe(outline);
    }
    const other = createIdentity({ body: Buffer.from('soul') });
    expect(other.outline).toBe(outline);
    expect(other.id).not.toBe(id);
  });

  it('is no part of a prompt, and shows nothing of the body', () => {
    const { id } = createIdentity({ body: Buffer.from('secret') });
    expect(id).toMatch(/^call:[0-9a-f]{1,8}:[0-9a-f]{32}$/);
  });

  it('of a large body is computed only if a call like it is tracked', () => {
    const fleet = new Fleet(1);
    const tracker = fleet.get(0);
    const serve = (target: string): number => {
      const body = Buffer.alloc(100_000);
      const identity = new CountedIdentity({
        method: 'POST',
        target,
        account: '',
        parts: [],
        body,
      });
      const call = { requestId: 'r', service, parts: [], identity };
      tracker.decideFirstAttempt(call, 0);
      tracker.noteServed(call, 0);
      return identity.digests;
    };
    fleet.crash(0, fleet.createCall('other'));
    expect(serve('/a')).toBe(0);
    const identity = createIdentity({
      target: '/a',
      account: '',
      parts: [],
      body: Buffer.alloc(100_000, 1),
    });
    fleet.crash(0, { requestId: 'r', service, parts: [], identity });
    expect(serve('/a')).toBeGreaterThan(0);
    expect(serve('/b')).toBe(0);
  });
});

describe('a call that crashes servers', () => {
  it('is refused after three crashes at all gateways, also one that starts later', () => {
    const fleet = new Fleet(3);
    fleet.crash(0, fleet.createCall('deadly'));
    fleet.advance(1_000);
    fleet.crash(1, fleet.createCall('deadly'));
    fleet.advance(1_000);
    expect(fleet.isAllowed(2, 'deadly')).toBe(true);
    fleet.crash(2, fleet.createCall('deadly'));
    fleet.addGateway();
    fleet.sendToAll(2);
    for (const at of [0, 1, 2, 3]) {
      expect(fleet.isAllowed(at, 'deadly')).toBe(false);
      expect(fleet.isAllowed(at, 'sound')).toBe(true);
      expect(fleet.get(at).countRefused(TraitKind.WholeCall)).toBe(1);
      expect(fleet.get(at).countRefused(TraitKind.PromptPart)).toBe(0);
    }
  });

  it('is not refused if it was answered in between', () => {
    const fleet = new Fleet(1);
    for (let sent = 0; sent < 6; sent += 1) {
      fleet.crash(0, fleet.createCall('popular'));
      fleet.advance(500);
      fleet.get(0).noteServed(fleet.createCall('popular'), fleet.time.now);
      expect(fleet.isAllowed(0, 'popular')).toBe(true);
    }
  });

  it('is repeated once, also beside equal calls, and not when it comes again', () => {
    const fleet = new Fleet(1);
    const tracker = fleet.get(0);
    const { time } = fleet;
    const [first, second] = [fleet.createCall('a'), fleet.createCall('a')];
    const attempt = { serverId: 's1', incarnation: 1, sentAt: 0 };
    fleet.advance(runMs);
    tracker.noteBroken(first, attempt, time.now);
    tracker.noteBroken(second, attempt, time.now);
    expect(tracker.decideRepeat(first, time.now).isAllowed).toBe(true);
    expect(tracker.decideRepeat(second, time.now).isAllowed).toBe(true);
    const again = fleet.createCall('a');
    fleet.crash(0, again, 's2');
    expect(tracker.decideRepeat(again, time.now).isAllowed).toBe(false);
  });

  it('goes to the same server from all gateways, and not to the last one', () => {
    const fleet = new Fleet(2);
    const call = fleet.createCall('deadly');
    expect(fleet.place(0, call, ['s2', 's3'])).toEqual({ isFree: true });
    fleet.crash(0, call);
    const places = [0, 1].map(at => {
      fleet.get(at).decideFirstAttempt(fleet.createCall('deadly'), 0);
      return fleet.place(at, fleet.createCall('deadly'), ['s2', 's3']);
    });
    expect(places[0]).toMatchObject({ isFree: false });
    expect(places[1]).toEqual(places[0]);
    const last = fleet.place(1, fleet.createCall('deadly'), ['s3']);
    expect(last).toEqual({ isFree: false, serverId: undefined });
    expect(fleet.get(1).estimateHold(call, fleet.time.now)).toBeGreaterThan(0);
    const sound = fleet.place(1, fleet.createCall('sound'), ['s3']);
    expect(sound).toEqual({ isFree: true });
  });

  it('that was answered before is not kept from the last server for one crash', () => {
    const fleet = new Fleet(1);
    fleet.get(0).noteServed(fleet.createCall('popular'), fleet.time.now);
    fleet.crash(0, fleet.createCall('popular'));
    const call = fleet.createCall('popular');
    expect(fleet.isAllowed(0, 'popular')).toBe(true);
    expect(fleet.place(0, call, ['s3'])).toEqual({ isFree: true });
    fleet.crash(0, fleet.createCall('popular'), 's2');
    expect(fleet.isAllowed(0, 'popular')).toBe(true);
    expect(fleet.place(0, call, ['s3'])).toMatchObject({ isFree: false });
  });

  it('is tried at most twice in a day, all gateways together', () => {
    const fleet = new Fleet(3);
    fleet.crashThree('deadly');
    fleet.sendToAll(0);
    let sent = 0;
    for (let hour = 0; hour < 23; hour += 1) {
      for (let minute = 0; minute < 60; minute += 1) {
        fleet.advance(60_000 - runMs);
        const at = (hour + minute) % fleet.gateways.length;
        const call = fleet.createCall('deadly');
        const { now } = fleet.time;
        if (fleet.get(at).decideFirstAttempt(call, now).isAllowed) {
          sent += 1;
          fleet.crash(at, call);
        } else {
          fleet.advance(runMs);
        }
      }

      // Gateways that start anew learn the trials from the others.
      const late = fleet.addGateway();
      fleet.sendToAll(0);
      fleet.gateways.splice(fleet.gateways.indexOf(late), 1);
      fleet.gateways.splice(1 + (hour % 2), 1, late);
    }
    expect(sent).toBeGreaterThan(0);
    expect(sent).toBeLessThanOrEqual(2);
  });

  it('is sent again everywhere after an operator cleared it at one gateway', () => {
    const fleet = new Fleet(2);
    fleet.crashThree('deadly');
    fleet.sendToAll(0);
    expect(fleet.isAllowed(1, 'deadly')).toBe(false);
    const { id } = fleet.createCall('deadly').identity ?? createIdentity();
    expect(fleet.get(0).clearSuspect('call:unknown', 0)).toBe(false);
    const before = fleet.get(0).revision;
    expect(fleet.get(0).clearSuspect(id, fleet.time.now)).toBe(true);
    expect(fleet.get(0).revision).toBeGreaterThan(before);
    fleet.sendToAll(0);
    fleet.sendToAll(1);
    expect(fleet.isAllowed(0, 'deadly')).toBe(true);
    expect(fleet.isAllowed(1, 'deadly')).toBe(true);
  });

  it('keeps no crash of a server that answers what it was sent before', () => {
    const fleet = new Fleet(1);
    const tracker = fleet.get(0);
    const run = { serverId: 's1', incarnation: 1 };
    fleet.advance(1_000);
    const call = fleet.createCall('reset');
    tracker.noteBroken(call, { ...run, sentAt: 900 }, fleet.time.now);
    const beside = fleet.createCall('beside');
    // An answer that was on its way proves nothing, nor does one to a later call.
    tracker.noteServed(beside, fleet.time.now, { ...run, sentAt: 950 });
    fleet.advance(1_000);
    tracker.noteServed(beside, fleet.time.now, { ...run, sentAt: 1_500 });
    expect(fleet.isAllowed(0, 'reset')).toBe(true);
    expect(fleet.place(0, call, ['s3'])).toMatchObject({ isFree: false });
    tracker.noteServed(beside, fleet.time.now, { ...run, sentAt: 950 });
    expect(fleet.place(0, call, ['s3'])).toEqual({ isFree: true });
  });
});

describe('the limits of what is tracked', () => {
  it('keep parts and whole calls apart, and refused calls in place', () => {
    const fleet = new Fleet(1);
    const tracker = fleet.get(0);
    fleet.crashThree('deadly');
    expect(fleet.isAllowed(0, 'deadly')).toBe(false);
    for (let at = 0; at < 20; at += 1) {
      fleet.crash(0, fleet.createCall('part', [`a${String(at)}`]));
    }
    const parts = tracker.countTracked(TraitKind.PromptPart);
    for (let at = 0; at < 3 * maxTrackedCalls; at += 1) {
      fleet.crash(0, fleet.createCall(`bystander ${String(at)}`));
    }
    const calls = tracker.countTracked(TraitKind.WholeCall);
    expect(calls).toBeLessThanOrEqual(maxTrackedCalls);
    expect(calls).toBeGreaterThan(maxTrackedCalls / 2);
    expect(tracker.countTracked(TraitKind.PromptPart)).toBe(parts);
    expect(parts).toBeLessThan(maxTrackedSuspects);
    expect(tracker.countRefused(TraitKind.WholeCall)).toBe(1);
  });
});

describe('records of an earlier build', () => {
  it('count with the age of the crash for that of the sending', () => {
    const fleet = new Fleet(1);
    const { id = '' } = fleet.createCall('deadly').identity ?? {};
    const sightings = [9_000, 6_000, 3_000].map(ageMs => ({
      crash: `s1#${String(ageMs)}`,
      requestId: `r${String(ageMs)}`,
      ageMs,
    }));
    fleet.advance(10_000);
    fleet
      .get(0)
      .mergeRecords([{ service, part: id, sightings }], fleet.time.now);
    expect(fleet.isAllowed(0, 'deadly')).toBe(false);
    expect(fleet.get(0).listRecords(fleet.time.now)[0]?.sightings).toEqual(
      sightings.map(sighting => ({ ...sighting, sentAgeMs: sighting.ageMs })),
    );
  });
});
