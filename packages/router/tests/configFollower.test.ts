/** Tests the configuration follower under outages, trimming and a replaced log. */
import { describe, expect, it } from 'vitest';
import { LogComponent, LoggerFactory } from '@lycheetally/common';
import {
  ConditionalAcceptance,
  ConfigRecordKind,
  JitteredSnapshots,
  type RouterConfiguration,
} from '@lycheetally/decisions';
import {
  ConfigFollower,
  EventLog,
  EventLoop,
  ManualClock,
  bindFollowerChart,
  buildChange,
  configCheckIntervalMs,
  configReadIntervalMs,
  decodeRecord,
  encodeRecord,
  type ConfigFollowerEvent,
} from '../src/index.js';
import { FakeLog, LogFault } from './fakeLog.js';

const buildConfiguration = (version: number): RouterConfiguration => ({
  version,
  ranks: [{ name: 'family', urgency: 0, floor: 0.5, targetMs: version }],
  accounts: [],
  services: [],
});

const pushVersion = (log: FakeLog, version: number): void => {
  const from = version === 1 ? undefined : buildConfiguration(version - 1);
  const change = buildChange(from, buildConfiguration(version), {
    id: `change-${String(version)}`,
    lineage: 'a',
    author: 'operator',
    publishedAt: 0,
  });
  log.records.push({ offset: log.records.length, value: encodeRecord(change) });
};

class Harness {
  readonly clock = new ManualClock();
  readonly loop = new EventLoop<{ follower: ConfigFollowerEvent }>(this.clock);
  readonly events = new EventLog('entry');
  readonly follower: ConfigFollower;

  constructor(
    readonly log: FakeLog,
    maxRecords = 1_000,
  ) {
    this.follower = new ConfigFollower(bindFollowerChart().unwrap(), {
      nodeId: 'entry',
      timers: this.loop,
      logPort: log,
      events: this.events,
      log: new LoggerFactory('entry', 'silent').createLogger(
        LogComponent.Config,
      ),
      acceptance: new ConditionalAcceptance(),
      snapshots: new JitteredSnapshots(1_000_000, maxRecords),
      postFollowerEvent: event => {
        this.loop.post('follower', event);
      },
    });
    this.loop.setHandlers({
      follower: (event, now) => {
        this.follower.receive(event, now);
      },
    });
    this.follower.start(0);
  }

  /** Lets the follower complete some reads. */
  async runReads(reads = 4): Promise<void> {
    for (let index = 0; index < reads; index += 1) {
      await new Promise(resolve => setImmediate(resolve));
      this.clock.advance(configReadIntervalMs);
    }
  }

  get version(): number {
    return this.follower.configuration?.version ?? 0;
  }
}

describe('a follower', () => {
  it('keeps the last version during an outage and catches up afterwards', async () => {
    const harness = new Harness(new FakeLog());
    pushVersion(harness.log, 1);
    await harness.runReads();
    expect([harness.version, harness.follower.standing]).toEqual([
      1,
      'current',
    ]);
    harness.log.nextFault = () => LogFault.Down;
    pushVersion(harness.log, 2);
    await harness.runReads();
    expect([harness.version, harness.follower.standing]).toEqual([
      1,
      'unreachable',
    ]);
    harness.log.nextFault = () => LogFault.None;
    await harness.runReads();
    expect([harness.version, harness.follower.standing]).toEqual([
      2,
      'current',
    ]);
  });

  it('skips malformed, oversized and conflicting records and reports each', async () => {
    const harness = new Harness(new FakeLog());
    pushVersion(harness.log, 1);
    harness.log.records.push({ offset: 1, value: '{"kind":"change"}' });
    harness.log.records.push({ offset: 2, value: 'x'.repeat(9_000_000) });
    const stale = { ...harness.log.records[0] };
    harness.log.records.push({
      offset: 3,
      value: (stale.value ?? '').replace('change-1', 'other'),
    });
    pushVersion(harness.log, 2);
    await harness.runReads(8);
    expect(harness.version).toBe(2);
    const skipped = harness.events
      .list()
      .filter(({ kind }) => kind === 'config-skipped');
    expect(skipped.map(({ detail }) => detail?.verdict)).toEqual([
      'invalid',
      'invalid',
      'conflict',
    ]);
  });

  it('recovers from a snapshot after unread records were trimmed', async () => {
    const source = new Harness(new FakeLog(), 3);
    for (let version = 1; version <= 6; version += 1) {
      pushVersion(source.log, version);
    }
    await source.runReads(8);
    const snapshot = source.log.records.at(-1);
    expect(decodeRecord(snapshot?.value ?? '')?.kind).toBe(
      ConfigRecordKind.Snapshot,
    );
    source.log.first = 6;
    const fresh = new Harness(source.log);
    pushVersion(source.log, 7);
    await fresh.runReads(8);
    expect([fresh.version, fresh.follower.standing]).toEqual([7, 'current']);
  });

  it('without a snapshot keeps its version until a peer sends a newer one', async () => {
    const log = new FakeLog();
    const ahead = new Harness(log);
    const late = new Harness(log);
    pushVersion(log, 1);
    await ahead.runReads();
    await late.runReads();
    for (let version = 2; version <= 4; version += 1) {
      pushVersion(log, version);
    }
    await ahead.runReads();
    log.first = 3;
    await late.runReads(8);
    expect([late.version, late.follower.standing]).toEqual([1, 'behind']);
    const state = ahead.follower.state;
    expect(state).toBeDefined();
    if (state) {
      late.follower.receive({ type: 'PEER_STATE_RECEIVED', state }, 0);
    }
    await late.runReads();
    expect([late.version, late.follower.standing]).toEqual([4, 'current']);
  });

  it('keeps its version when the log was replaced by another', async () => {
    const harness = new Harness(new FakeLog());
    pushVersion(harness.log, 1);
    pushVersion(harness.log, 2);
    await harness.runReads();
    harness.log.records.length = 0;
    harness.clock.advance(configCheckIntervalMs);
    await harness.runReads();
    expect([harness.version, harness.follower.standing]).toEqual([
      2,
      'diverged',
    ]);
  });

  it('refuses an older state and one of another lineage from a peer', async () => {
    const harness = new Harness(new FakeLog());
    pushVersion(harness.log, 1);
    await harness.runReads();
    const old = harness.follower.state;
    pushVersion(harness.log, 2);
    await harness.runReads();
    if (old) {
      harness.follower.receive({ type: 'PEER_STATE_RECEIVED', state: old }, 0);
      const foreign = { ...old, lineage: 'b', through: 99 };
      harness.follower.receive(
        { type: 'PEER_STATE_RECEIVED', state: foreign },
        0,
      );
    }
    expect(harness.version).toBe(2);
  });
});
