/** What a gateway makes of the entries in the server list. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { LogComponent, Ok, getOrThrow } from '@lycheetally/common';
import {
  UnlimitedIntake,
  type BackendRecord,
  type StorePosition,
} from '@lycheetally/decisions';
import { EventLoop, MonotonicClock } from '@lycheetally/node';
import { chooseAlive } from '../src/calls/chooseServers.js';
import type { AdmittedCall, GatewayCall } from '../src/calls/gatewayCall.js';
import type { TableRecord } from '../src/ports.js';
import { bindHealthChart } from '../src/servers/server.js';
import { bindIntakeChart } from '../src/servers/serverIntake.js';
import { bindListingChart } from '../src/servers/serverListing.js';
import { ServerRegistry } from '../src/servers/serverRegistry.js';
import { createQuietLoggers } from './quietLoggers.js';

const record: BackendRecord = {
  serverId: 'i-1',
  service: 'desk',
  address: '127.0.0.1:1',
  failureDomain: 'a',
  slots: 10,
  isLeaving: false,
  incarnation: 2_000,
  sequence: 5,
  kind: '',
  range: undefined,
};

const toPosition = (offset: number, era = 1): StorePosition => ({
  era,
  offset,
});

describe('the registry of servers', () => {
  let registry: ServerRegistry;
  let clock: MonotonicClock;
  let isSound: boolean;
  let lost: string[];

  beforeEach(() => {
    isSound = true;
    lost = [];
    clock = new MonotonicClock();
    const loop = new EventLoop<{ completion: (now: number) => void }>(clock);
    loop.setHandlers({
      completion: (run, now) => {
        run(now);
      },
    });
    const loggers = createQuietLoggers();
    registry = new ServerRegistry({
      timers: loop,
      log: loggers.createLogger(LogComponent.Servers),
      healthMachine: getOrThrow(bindHealthChart()),
      listingMachine: getOrThrow(bindListingChart()),
      intakeMachine: getOrThrow(bindIntakeChart()),
      createIntakePolicy: () => new UnlimitedIntake(),
      getOutage: () => ({ outageSince: undefined, outageEndedAt: -Infinity }),
      requestHealth: ({ serverId }) =>
        Promise.resolve(Ok({ serverId, isSound })),
      handleReturn: () => undefined,
      handleLost: server => {
        lost.push(server.record.serverId);
      },
      postCompletion: run => {
        loop.post('completion', run);
      },
    });
  });

  afterEach(() => {
    registry.dispose();
  });

  const apply = (
    records: readonly TableRecord<BackendRecord>[],
    isComplete = false,
  ): void => {
    registry.apply(records, isComplete, clock.getNow());
  };

  const listUsable = (): string[] =>
    registry.listUsable('desk').map(server => server.record.address);

  const findAlive = (since: number): string | undefined => {
    const suspects = { choosePlacement: () => ({ isFree: true }) };
    const services = { serverRegistry: registry, homeDomain: 'a', suspects };
    const received = { fields: { promptParts: [] } };
    const call = { services, received, avoided: new Set() };
    const admitted = { service: { name: 'desk' } };
    return chooseAlive(
      call as unknown as GatewayCall,
      admitted as AdmittedCall,
      { since, without: undefined },
      clock.getNow(),
    )?.first.record.serverId;
  };

  // Guards against calls that move from one pausing server to another, whose heartbeat was written before the pause and read in it.
  it('takes no heartbeat for a proof that the server lives now', () => {
    apply([{ key: 'i-1', position: toPosition(10), value: record }]);
    const askedAt = clock.getNow();
    const value = { ...record, sequence: record.sequence + 1 };
    apply([{ key: 'i-1', position: toPosition(11), value }]);
    expect(findAlive(askedAt)).toBeUndefined();
    registry.find('i-1')?.noteAlive(clock.getNow());
    expect(findAlive(askedAt)).toBe('i-1');
  });

  // Guards against a server that is ignored for ever after its VM's clock stepped back.
  it('follows a server that started again with an earlier start time', () => {
    apply([{ key: 'i-1', position: toPosition(10), value: record }]);
    const restarted = { ...record, incarnation: 1_000, sequence: 1 };
    const value = { ...restarted, address: '127.0.0.1:2' };
    apply([{ key: 'i-1', position: toPosition(11), value }]);
    expect(listUsable()).toEqual(['127.0.0.1:2']);
    expect(lost).toEqual(['i-1']);
    apply([
      {
        key: 'i-1',
        position: toPosition(12),
        value: { ...value, isLeaving: true },
      },
    ]);
    expect(listUsable()).toEqual([]);
  });

  it('ignores an entry that was written before the known one', () => {
    const value = { ...record, isLeaving: true };
    apply([{ key: 'i-1', position: toPosition(10), value }]);
    apply([
      {
        key: 'i-1',
        position: toPosition(9),
        value: { ...record, incarnation: 3_000 },
      },
    ]);
    expect(listUsable()).toEqual([]);
    expect(lost).toEqual([]);
  });

  const settle = async (): Promise<void> => {
    for (let turn = 0; turn < 10; turn += 1) {
      await new Promise(resolve => setImmediate(resolve));
    }
  };

  // Guards against a leaving server that stays in use, since its last entry cannot be read.
  it('asks a server whose entry cannot be read before it gets calls', async () => {
    apply([{ key: 'i-1', position: toPosition(10), value: record }]);
    isSound = false;
    const unreadable = { key: 'i-1', value: undefined, fault: 'no address' };
    apply([{ ...unreadable, position: toPosition(11) }]);
    expect(listUsable()).toEqual([]);
    await settle();
    expect(listUsable()).toEqual([]);
    apply([{ key: 'i-1', position: toPosition(12), value: record }]);
    expect(listUsable()).toEqual(['127.0.0.1:1']);
    isSound = true;
    apply([{ ...unreadable, position: toPosition(13) }]);
    await settle();
    expect(listUsable()).toEqual(['127.0.0.1:1']);
  });

  it('keeps a server that a complete list has with an unchanged entry', () => {
    apply([{ key: 'i-1', position: toPosition(10), value: record }]);
    apply([{ key: 'i-1', position: toPosition(10), value: record }], true);
    expect(listUsable()).toEqual(['127.0.0.1:1']);
    apply([], true);
    expect(listUsable()).toEqual([]);
  });

  // Guards against calls to an address of before, which may be another server's by now.
  it('keeps what a server announced since the copy that the store came back from', () => {
    apply([{ key: 'i-1', position: toPosition(10), value: record }]);
    const value = { ...record, address: '127.0.0.1:2', incarnation: 1_000 };
    apply([{ key: 'i-1', position: toPosition(3, 2), value }], true);
    expect(listUsable()).toEqual(['127.0.0.1:1']);
    expect(lost).toEqual([]);
    apply([{ key: 'i-1', position: toPosition(4, 2), value }]);
    expect(listUsable()).toEqual(['127.0.0.1:2']);
  });

  it('takes no server back that left after the copy that the store came back from', () => {
    apply([{ key: 'i-1', position: toPosition(10), value: record }]);
    apply([{ key: 'i-1', position: toPosition(11), value: undefined }]);
    apply([{ key: 'i-1', position: toPosition(3, 2), value: record }], true);
    expect(listUsable()).toEqual([]);
    const value = { ...record, sequence: record.sequence + 1 };
    apply([{ key: 'i-1', position: toPosition(4, 2), value }]);
    expect(listUsable()).toEqual(['127.0.0.1:1']);
  });

  // Guards against a step back by one more read of the whole list, as when a gateway asks another one.
  it('keeps what a server announced when the older copy is read once more', () => {
    const announced = { ...record, isLeaving: true };
    apply([{ key: 'i-1', position: toPosition(10), value: announced }]);
    const value = { ...record, address: '127.0.0.1:2', sequence: 4 };
    apply([{ key: 'i-1', position: toPosition(3, 2), value }], true);
    expect(listUsable()).toEqual([]);
    // Another gateway names only the end of the list.
    apply([{ key: 'i-1', position: toPosition(9, 2), value }], true);
    expect(listUsable()).toEqual([]);
    expect(registry.find('i-1')?.record).toEqual(announced);
  });

  it('takes no server back that left when the older copy is read once more', () => {
    apply([{ key: 'i-1', position: toPosition(10), value: record }]);
    apply([{ key: 'i-1', position: toPosition(11), value: undefined }]);
    apply([{ key: 'i-1', position: toPosition(3, 2), value: record }], true);
    apply([{ key: 'i-1', position: toPosition(3, 2), value: record }], true);
    expect(listUsable()).toEqual([]);
    apply([{ key: 'i-1', position: toPosition(9, 2), value: record }], true);
    expect(listUsable()).toEqual([]);
  });
});
