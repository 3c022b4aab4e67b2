/** What a leader does with its lease and its orders: when it stops, when the store's history is replaced, and when servers refuse. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  Err,
  ErrorKind,
  LogComponent,
  Ok,
  TypedError,
  getOrThrow,
  type Result,
} from '@lycheetally/common';
import {
  PlacementPolicy,
  UnlimitedIntake,
  type PlacementPlan,
  type StageServer,
} from '@lycheetally/decisions';
import { EventLoop, MonotonicClock } from '@lycheetally/node';
import {
  maxFirstPlacementWaitMs,
  placementIntervalMs,
} from '../src/constants.js';
import { ContinuousOrders } from '../src/placement/orderRules.js';
import { bindOrderChart } from '../src/placement/layerOrder.js';
import { LayerPlacer, bindLeaderChart } from '../src/placement/layerPlacer.js';
import {
  LeaderElectionPort,
  OrderRefusal,
  ServerControlPort,
  type ChainUpdateAnswer,
  type LeaderGrant,
  type OrderAnswer,
  type PlacementOrder,
  type ServerHealth,
  type ServerReport,
} from '../src/ports.js';
import { bindHealthChart } from '../src/servers/server.js';
import { bindIntakeChart } from '../src/servers/serverIntake.js';
import { bindListingChart } from '../src/servers/serverListing.js';
import { ServerRegistry } from '../src/servers/serverRegistry.js';
import { createQuietLoggers } from './quietLoggers.js';

const range = { from: 0, to: 8 };

const record = {
  serverId: 'i-1',
  service: 'model',
  address: '127.0.0.1:1',
  failureDomain: 'a',
  slots: 10,
  isLeaving: false,
  incarnation: 1,
  sequence: 1,
  kind: 'large',
  range: undefined,
};

const model = {
  layers: 8,
  layerMegabytes: 100,
  cacheBytesPerToken: 1_000,
  stepMs: 10,
  stepMsPerRequest: 1,
  stepMsPerContextK: 1,
  kinds: [],
};

const unanswered = new TypedError(ErrorKind.BackendFailed, 'no', 'start it');

/** Records the calls; each join is answered by the test. */
class HeldElection extends LeaderElectionPort {
  readonly calls: string[] = [];
  private readonly joins: ((result: Result<LeaderGrant>) => void)[] = [];

  override join(): Promise<Result<LeaderGrant>> {
    this.calls.push('join');
    return new Promise(resolve => {
      this.joins.push(result => {
        this.calls.push('joined');
        resolve(result);
      });
    });
  }

  override leave(): Promise<Result<void>> {
    this.calls.push('leave');
    return Promise.resolve(Ok(undefined));
  }

  answer(): void {
    this.joins.shift()?.(Ok({ isLeader: true, share: 1, fencingToken: 1 }));
  }
}

/** Records the orders; each report is answered by the test. */
class HeldControl extends ServerControlPort {
  readonly orders: PlacementOrder[] = [];
  answer: OrderAnswer = { refusal: undefined, detail: '' };
  readonly reports: ((result: Result<ServerReport>) => void)[] = [];

  override placeLayers(order: PlacementOrder): Promise<Result<OrderAnswer>> {
    this.orders.push(order);
    return Promise.resolve(Ok(this.answer));
  }

  override updateChain(): Promise<Result<ChainUpdateAnswer>> {
    return Promise.resolve(Err(unanswered));
  }

  override readHealth(): Promise<Result<ServerHealth>> {
    return Promise.resolve(Err(unanswered));
  }

  override readReport(): Promise<Result<ServerReport>> {
    return new Promise(resolve => {
      this.reports.push(resolve);
    });
  }
}

/** Gives the model to every server that has no order yet; records what it was told of them. */
class FixedPlacement extends PlacementPolicy {
  readonly seen: StageServer[] = [];

  override planPlacement(
    ...[, servers]: Parameters<PlacementPolicy['planPlacement']>
  ): PlacementPlan {
    this.seen.push(...servers);
    const idle = servers.filter(server => !server.isBusy);
    return new Map(idle.map(({ serverId }) => [serverId, range]));
  }
}

describe('a leader that places layers', () => {
  let election: HeldElection;
  let control: HeldControl;
  let placer: LayerPlacer;
  let placement: FixedPlacement;
  let registry: ServerRegistry;
  let clock: MonotonicClock;

  beforeEach(() => {
    election = new HeldElection();
    control = new HeldControl();
    placement = new FixedPlacement();
    clock = new MonotonicClock();
    const loop = new EventLoop<{ completion: (now: number) => void }>(clock);
    loop.setHandlers({
      completion: (run, now) => {
        run(now);
      },
    });
    const log = createQuietLoggers().createLogger(LogComponent.Layers);
    registry = new ServerRegistry({
      timers: loop,
      log,
      healthMachine: getOrThrow(bindHealthChart()),
      listingMachine: getOrThrow(bindListingChart()),
      intakeMachine: getOrThrow(bindIntakeChart()),
      createIntakePolicy: () => new UnlimitedIntake(),
      getOutage: () => ({ outageSince: undefined, outageEndedAt: -Infinity }),
      requestHealth: () => Promise.resolve(Err(unanswered)),
      handleLost: () => undefined,
      handleReturn: () => undefined,
      postCompletion: run => {
        loop.post('completion', run);
      },
    });
    registry.apply(
      [{ key: 'i-1', position: { era: 1, offset: 0 }, value: record }],
      true,
      clock.getNow(),
    );
    placer = new LayerPlacer(
      getOrThrow(bindLeaderChart()),
      getOrThrow(bindOrderChart()),
      {
        timers: loop,
        log,
        leaderElection: election,
        control,
        placement,
        orderRules: new ContinuousOrders(),
        serverRegistry: registry,
        startedAt: clock.getNow() - maxFirstPlacementWaitMs,
        heartbeatMs: 60_000,
        lossHandler: { checkServer: () => undefined },
        setShare: () => undefined,
        postCompletion: run => {
          loop.post('completion', run);
        },
        listServices: () => [{ name: 'model', healthPath: '/health', model }],
      },
    );
    placer.start(clock.getNow());
  });

  afterEach(() => {
    placer.dispose();
    registry.dispose();
  });

  /** Lets pending completions run. */
  const settle = async (): Promise<void> => {
    for (let turn = 0; turn < 10; turn += 1) {
      await new Promise(resolve => setImmediate(resolve));
    }
  };

  const lead = async (): Promise<void> => {
    election.answer();
    await settle();
    expect(placer.isLeader).toBe(true);
  };

  it('leaves its group only after a renewal that is under way, which would join again', async () => {
    placer.resign(clock.getNow());
    await settle();
    expect(election.calls).toEqual(['join']);
    election.answer();
    await settle();
    expect(election.calls).toEqual(['join', 'joined', 'leave']);
  });

  it('leaves its group at once when no renewal is under way', async () => {
    await lead();
    placer.resign(clock.getNow());
    await settle();
    expect(election.calls).toEqual(['join', 'joined', 'leave']);
  });

  it('sends no order that it had only begun', async () => {
    await lead();
    expect(control.reports).toHaveLength(1);
    placer.resign(clock.getNow());
    control.reports[0]?.(Ok({ orders: 3, isBusy: false, stalled: [] }));
    await settle();
    expect(control.orders).toEqual([]);
  });

  it('expects the order count of the report, so that a repeated order is refused', async () => {
    await lead();
    control.reports[0]?.(Ok({ orders: 3, isBusy: false, stalled: [] }));
    await settle();
    placer.resign(clock.getNow());
    expect(control.orders).toHaveLength(1);
    expect(control.orders[0]?.expectedOrders).toBe(3);
  });

  it('a leader of the old history gives no orders after the first answer of the new one', async () => {
    await lead();
    expect(control.reports).toHaveLength(1);
    election.grantEnded.emit();
    control.reports[0]?.(Ok({ orders: 3, isBusy: false, stalled: [] }));
    await settle();
    expect(placer.isLeader).toBe(false);
    expect(control.orders).toEqual([]);
    expect(election.calls).toEqual(['join', 'joined', 'join']);
  });

  it('a server that carries out the order of a former leader gets no other one and is not counted on', async () => {
    await lead();
    control.reports[0]?.(Ok({ orders: 3, isBusy: true, stalled: [] }));
    await settle();
    placement.seen.length = 0;
    await vi.waitUntil(() => placement.seen.length > 0);
    expect(control.orders).toEqual([]);
    expect(placement.seen[0]?.isBusy).toBe(true);
    expect(placement.seen[0]?.range).toBeUndefined();
  });

  it('a server that holds other layers than its entry says gets no order planned on the old entry', async () => {
    await lead();
    const held = { range: { from: 4, to: 8 } };
    control.reports[0]?.(Ok({ orders: 3, isBusy: false, held, stalled: [] }));
    await settle();
    placement.seen.length = 0;
    await vi.waitUntil(() => placement.seen.length > 0);
    expect(control.orders).toEqual([]);
    expect(placement.seen[0]?.range).toEqual(held.range);
  });

  it('a server that refused gets an order as soon as its entry names other layers', async () => {
    await lead();
    control.reports[0]?.(Ok({ orders: 3, isBusy: true, stalled: [] }));
    await settle();
    registry.apply(
      [
        {
          key: 'i-1',
          position: { era: 1, offset: 1 },
          value: { ...record, sequence: 2, range: { from: 0, to: 4 } },
        },
      ],
      false,
      clock.getNow(),
    );
    await vi.waitUntil(() => control.reports.length > 1, {
      timeout: 2 * placementIntervalMs,
    });
  });

  it('a server that refused is not counted on for the layers that it refused', async () => {
    control.answer = { refusal: OrderRefusal.Conflict, detail: '' };
    await lead();
    control.reports[0]?.(Ok({ orders: 3, isBusy: false, stalled: [] }));
    await settle();
    placement.seen.length = 0;
    await vi.waitUntil(() => placement.seen.length > 0);
    expect(control.orders).toHaveLength(1);
    expect(placement.seen[0]?.range).toBeUndefined();
  });
});
