/** Work that crashes servers is refused by one entry, and other work is not. */
import { describe, expect, it } from 'vitest';
import { ChartTimers } from '@lycheetally/charts';
import {
  ErrorKind,
  LoggerFactory,
  getOrThrow,
  type Disposable,
} from '@lycheetally/common';
import {
  ServiceKind,
  UnservedCall,
  type ServerView,
  type ServiceRule,
} from '@lycheetally/decisions';
import { ManualClock } from '@lycheetally/node';
import { WorkIdentity } from '../src/entry/suspects/workIdentity.js';
import { bindWorkSuspectChart } from '../src/entry/suspects/workSuspect.js';
import {
  WorkSuspects,
  type TracedWork,
} from '../src/entry/suspects/workSuspects.js';

const stepMs = 1_000;
const firstTrialMs = 60_000;

const service: ServiceRule = {
  name: 'stock',
  kind: ServiceKind.Plain,
  layers: 0,
  idempotent: true,
  accounts: ['a'],
};

const servers = ['s1', 's2', 's3'].map((serverId): ServerView => ({
  serverId,
  agentAddress: `${serverId}:1`,
  incarnation: '1',
  service: service.name,
  kind: service.kind,
  layerFrom: 0,
  layerTo: 0,
  failureDomain: 'd',
  isConnected: true,
  isLeaving: false,
  outstanding: 0,
}));

const createWork = (
  requestId: string,
  content: string,
  change: Partial<TracedWork> = {},
): TracedWork => ({
  requestId,
  service,
  identity: new WorkIdentity({
    service,
    account: 'a',
    model: undefined,
    plain: {
      method: 'POST',
      path: '/',
      contentType: '',
      body: Buffer.from(content),
    },
  }),
  isTrial: false,
  hasRun: false,
  isAnswerUnderWay: false,
  ...change,
});

class ClockTimers extends ChartTimers {
  constructor(private readonly clock: ManualClock) {
    super();
  }

  override schedule(
    delayMs: number,
    callback: (now: number) => void,
  ): Disposable {
    return this.clock.schedule(delayMs, () => {
      callback(this.clock.getNow());
    });
  }
}

class Entry {
  readonly clock = new ManualClock();
  readonly suspects = new WorkSuspects({
    machine: getOrThrow(bindWorkSuspectChart()),
    timers: new ClockTimers(this.clock),
    policy: new UnservedCall(),
    log: new LoggerFactory('test', 'error').createLogger('entry'),
  });

  get now(): number {
    return this.clock.getNow();
  }

  /** Sends the work to a server that crashes with it. */
  crash(work: TracedWork, serverId: string): void {
    const sentAt = this.now;
    this.clock.advance(stepMs / 2);
    this.suspects.noteCrashed(work, { serverId, sentAt }, this.now);
    this.clock.advance(stepMs / 2);
  }

  isAdmitted(work: TracedWork): boolean {
    return this.suspects.admitWork(work, this.now).ok;
  }

  listAllowed(work: TracedWork): readonly string[] {
    return this.suspects
      .filterServers(work, servers, this.now)
      .unwrapOr([])
      .map(({ serverId }) => serverId);
  }
}

describe('work that crashes servers', () => {
  it('is repeated once and not again, whoever sends it', () => {
    const entry = new Entry();
    const first = createWork('r1', 'deadly', { hasRun: true });
    entry.crash(first, 's1');
    expect(entry.suspects.findFault(first)).toBeUndefined();
    entry.crash(first, 's2');
    const fault = entry.suspects.findFault(first);
    expect(fault?.kind).toBe(ErrorKind.CallRefused);
    const other = createWork('r2', 'deadly', { hasRun: true });
    expect(entry.suspects.findFault(other)).toBeDefined();
  });

  it('goes to one living server, and never to the last one', () => {
    const entry = new Entry();
    const work = createWork('r1', 'deadly');
    expect(entry.listAllowed(work)).toEqual(['s1', 's2', 's3']);
    entry.crash(work, 's1');
    const [chosen = ''] = entry.listAllowed(work);
    expect(entry.listAllowed(createWork('r2', 'deadly'))).toEqual([chosen]);
    entry.crash(work, chosen);
    expect(entry.listAllowed(work)).toEqual([]);
    expect(entry.listAllowed(createWork('r3', 'sound'))).toHaveLength(3);
  });

  it('is refused from the third crash on, and tried by one caller at a time', () => {
    const entry = new Entry();
    for (const server of ['s1', 's2', 's3']) {
      const work = createWork(server, 'deadly');
      expect(entry.isAdmitted(work)).toBe(true);
      entry.crash(work, server);
    }
    const work = createWork('r4', 'deadly');
    expect(entry.isAdmitted(work)).toBe(false);
    expect(entry.isAdmitted(createWork('r5', 'sound'))).toBe(true);
    entry.clock.advance(firstTrialMs);
    expect(entry.isAdmitted(work)).toBe(true);
    expect(entry.isAdmitted(createWork('r6', 'deadly'))).toBe(false);
    entry.crash(work, 's1');
    entry.clock.advance(firstTrialMs);
    expect(entry.isAdmitted(work)).toBe(false);
  });

  it('is sent again once it was answered', () => {
    const entry = new Entry();
    const work = createWork('r1', 'beside');
    entry.crash(work, 's1');
    entry.crash(work, 's2');
    const run = { serverId: 's3', sentAt: entry.now };
    entry.suspects.noteServed(work, [run], entry.now);
    expect(entry.suspects.findFault(work)).toBeUndefined();
    expect(entry.listAllowed(work)).toHaveLength(3);
  });

  it('is not blamed for servers that fail together', () => {
    const entry = new Entry();
    const work = createWork('r1', 'beside');
    for (const serverId of ['s1', 's2', 's3']) {
      entry.suspects.noteCrashed(work, { serverId, sentAt: 0 }, 100);
    }
    expect(entry.isAdmitted(work)).toBe(true);
  });
});
