/**
 * Orders that are kept until they are done. After a crash one server was told to hold layers 24-31,
 * 24-33 and 28-33 within 2.4 s, since it did not answer and each plan anew gave it other layers.
 */
import { describe, expect, it } from 'vitest';
import { Err, Ok, type Milliseconds, type Result } from '@lycheetally/common';
import {
  PlacementPolicy,
  RepairMode,
  type BackendRecord,
  type LayerRange,
  type LayeredModel,
  type PlacementPlan,
  type StageServer,
} from '@lycheetally/decisions';
import { gatewaySettingsSchema } from '../src/gatewaySettings.js';
import {
  CommittedOrders,
  ContinuousOrders,
  type OrderRules,
} from '../src/placement/orderRules.js';
import {
  ServerControlPort,
  type OrderAnswer,
  type PlacementOrder,
  type ServerReport,
} from '../src/ports.js';
import { ManualTimers } from './manualTimers.js';
import {
  LoneElection,
  advanceTo,
  createPlacer,
  unavailable,
  type PlacerFixture,
} from './placerFixture.js';

const model: LayeredModel = {
  layers: 40,
  layerMegabytes: 100,
  cacheBytesPerToken: 1_000,
  stepMs: 10,
  stepMsPerRequest: 1,
  stepMsPerContextK: 1,
  kinds: [],
};

const record: BackendRecord = {
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

/** The ranges that one server was told within 2.4 s. */
const changingRanges = [
  { from: 24, to: 31 },
  { from: 24, to: 33 },
  { from: 28, to: 33 },
];

/** Plans other layers each time, as the facts around a loss change. */
class ChangingPlacement extends PlacementPolicy {
  readonly planned: { now: Milliseconds; servers: readonly StageServer[] }[] =
    [];

  constructor(private readonly timers: ManualTimers) {
    super();
  }

  override planPlacement(
    ...[, servers]: Parameters<PlacementPolicy['planPlacement']>
  ): PlacementPlan {
    const range = changingRanges[this.planned.length % changingRanges.length];
    this.planned.push({ now: this.timers.now, servers });
    return new Map(
      servers.flatMap((server): [string, LayerRange][] =>
        server.isBusy === true || !range ? [] : [[server.serverId, range]],
      ),
    );
  }
}

class ScriptedControl extends ServerControlPort {
  readonly orders: PlacementOrder[] = [];
  report: Result<ServerReport> = Ok({ orders: 0, isBusy: false, stalled: [] });
  answer: Result<OrderAnswer> = Ok({ refusal: undefined, detail: '' });
  reports = 0;
  handleAsked: () => void = () => undefined;

  override placeLayers(order: PlacementOrder): Promise<Result<OrderAnswer>> {
    this.orders.push(order);
    return Promise.resolve(this.answer);
  }

  override readReport(): Promise<Result<ServerReport>> {
    this.reports += 1;
    this.handleAsked();
    return Promise.resolve(this.report);
  }

  override updateChain(): Promise<Result<never>> {
    return Promise.resolve(Err(unavailable));
  }

  override readHealth(): Promise<Result<never>> {
    return Promise.resolve(Err(unavailable));
  }
}

class Scenario {
  readonly timers = new ManualTimers();
  readonly control = new ScriptedControl();
  readonly placement = new ChangingPlacement(this.timers);
  readonly checked: string[] = [];
  private readonly fixture: PlacerFixture;
  private offset = 0;

  constructor(orderRules: OrderRules) {
    this.fixture = createPlacer(this.timers, {
      leaderElection: new LoneElection(),
      control: this.control,
      placement: this.placement,
      orderRules,
      lossHandler: {
        checkServer: server => {
          this.checked.push(server.record.serverId);
        },
      },
      listServices: () => [{ name: 'model', healthPath: '/health', model }],
    });
    this.putEntry({});
    this.fixture.placer.start(0);
  }

  putEntry(change: Partial<BackendRecord>): void {
    this.offset += 1;
    const { offset } = this;
    this.fixture.registry.apply(
      [
        {
          key: record.serverId,
          position: { era: 1, offset },
          value: { ...record, sequence: offset, ...change },
        },
      ],
      false,
      this.timers.now,
    );
  }

  noteLoss(): void {
    this.fixture.placer.noteLoss(this.timers.now);
  }

  resign(): void {
    this.fixture.placer.resign(this.timers.now);
  }

  dispose(): void {
    this.fixture.placer.dispose();
  }

  async runTo(until: Milliseconds): Promise<void> {
    await advanceTo(this.timers, until);
  }

  /** Lists the different ranges that the server was told. */
  listTold(): string[] {
    const told = this.control.orders.map(
      ({ range }) => `${String(range.from)}-${String(range.to)}`,
    );
    return [...new Set(told)];
  }
}

describe('a server that does not answer its order', () => {
  const tellForAWhile = async (rules: OrderRules): Promise<Scenario> => {
    const scenario = new Scenario(rules);
    scenario.control.answer = Err(unavailable);
    await scenario.runTo(2_400);
    return scenario;
  };

  it('was told other layers each time when orders were given up early', async () => {
    const scenario = await tellForAWhile(new ContinuousOrders());
    expect(scenario.listTold().length).toBeGreaterThan(1);
  });

  it('is told the same layers again, and probed', async () => {
    const scenario = await tellForAWhile(new CommittedOrders());
    expect(scenario.control.orders.length).toBeGreaterThan(1);
    expect(scenario.listTold()).toEqual(['24-31']);
    expect(scenario.checked).toContain('i-1');
  });

  it('counts as loading once its report says that it is busy', async () => {
    const scenario = await tellForAWhile(new CommittedOrders());
    const { control, placement } = scenario;
    const sent = control.orders.length;
    control.report = Ok({ orders: 1, isBusy: true, stalled: [] });
    await scenario.runTo(8_000);
    expect(control.orders).toHaveLength(sent);
    expect(placement.planned.at(-1)?.servers).toMatchObject([
      { isLoading: true, range: { from: 24, to: 31 } },
    ]);
  });

  it('gets another order when it stays silent', async () => {
    const scenario = new Scenario(new CommittedOrders());
    scenario.control.report = Err(unavailable);
    await scenario.runTo(6_000);
    scenario.control.report = Ok({ orders: 0, isBusy: false, stalled: [] });
    await scenario.runTo(7_500);
    expect(scenario.listTold()).toHaveLength(1);
    expect(scenario.listTold()).not.toContain('24-31');
  });
});

describe('a gateway that loses its lease while a server is asked for its report', () => {
  const loseLease = async (): Promise<Scenario> => {
    const scenario = new Scenario(new CommittedOrders());
    scenario.control.handleAsked = () => {
      scenario.resign();
    };
    await scenario.runTo(5_000);
    return scenario;
  };

  // Guards against a server under suspicion that answered, and against questions by a gateway that no longer places layers.
  it('sends no order, has no server probed, and asks no more', async () => {
    const { control, checked } = await loseLease();
    expect(control.orders).toEqual([]);
    expect(checked).toEqual([]);
    expect(control.reports).toBe(1);
  });
});

describe('a gateway that stops placing layers after an order without an answer', () => {
  // Guards against questions and probes that go on for 4 s beside those of the next leader.
  it('asks the server no more', async () => {
    const scenario = new Scenario(new CommittedOrders());
    scenario.control.answer = Err(unavailable);
    await scenario.runTo(100);
    const { reports } = scenario.control;
    expect(reports).toBe(1);
    scenario.resign();
    await scenario.runTo(6_000);
    expect(scenario.control.reports).toBe(reports);
  });

  // Guards against timers of orders that outlive the gateway.
  it('leaves no timer behind once it is disposed', async () => {
    const scenario = new Scenario(new CommittedOrders());
    scenario.control.answer = Err(unavailable);
    await scenario.runTo(100);
    scenario.dispose();
    await scenario.runTo(6_000);
    expect(scenario.control.reports).toBe(1);
  });
});

describe('a server that drains for 10 s before it loads', () => {
  it('gets no other order meanwhile', async () => {
    const scenario = new Scenario(new CommittedOrders());
    await scenario.runTo(12_000);
    expect(scenario.control.orders).toHaveLength(1);
  });
});

describe('a server that restarts empty while it has an order', () => {
  const restart = async (rules: OrderRules): Promise<Scenario> => {
    const scenario = new Scenario(rules);
    await scenario.runTo(1_000);
    expect(scenario.control.orders).toHaveLength(1);
    scenario.putEntry({ incarnation: 2 });
    await scenario.runTo(2_000);
    return scenario;
  };

  it('was counted on for the layers of that order', async () => {
    const { control } = await restart(new ContinuousOrders());
    expect(control.orders).toHaveLength(1);
  });

  it('gets a new order at once', async () => {
    const { control } = await restart(new CommittedOrders());
    expect(control.orders).toHaveLength(2);
  });
});

describe('a joined crash of two servers that is seen one by one', () => {
  it('is planned for once, 0.1 s after the first sign', async () => {
    const scenario = new Scenario(new CommittedOrders());
    await scenario.runTo(1_010);
    const { planned } = scenario.placement;
    const before = planned.length;
    scenario.noteLoss();
    await scenario.runTo(1_050);
    scenario.noteLoss();
    await scenario.runTo(1_130);
    expect(planned.slice(before).map(({ now }) => now)).toEqual([1_110]);
  });

  it('waited for the next interval when losses told placement nothing', async () => {
    const scenario = new Scenario(new ContinuousOrders());
    await scenario.runTo(1_010);
    const before = scenario.placement.planned.length;
    scenario.noteLoss();
    await scenario.runTo(1_130);
    expect(scenario.placement.planned).toHaveLength(before);
  });
});

describe('the setting of repairs', () => {
  const { placement } = gatewaySettingsSchema.shape;

  it('plans continuously unless it says otherwise', () => {
    expect(placement.parse({})).toEqual({ repair: RepairMode.Continuous });
    expect(placement.parse({ repair: 'committed' })).toEqual({
      repair: RepairMode.Committed,
    });
    expect(placement.safeParse({ repair: 'eager' }).success).toBe(false);
  });
});
