/** Probes of backend servers that may have failed. */
import { afterEach, describe, expect, it } from 'vitest';
import {
  Err,
  ErrorKind,
  LogComponent,
  Ok,
  TypedError,
  getOrThrow,
  type Result,
} from '@lycheetally/common';
import { UnlimitedIntake } from '@lycheetally/decisions';
import { EventLoop, MonotonicClock } from '@lycheetally/node';
import { slowReportMs, watchPauseMs } from '../src/constants.js';
import {
  ConnectionUse,
  ServerControlPort,
  type ChainUpdateAnswer,
  type OrderAnswer,
  type ServerHealth,
  type ServerReport,
} from '../src/ports.js';
import { Server, bindHealthChart } from '../src/servers/server.js';
import { ServerIntake, bindIntakeChart } from '../src/servers/serverIntake.js';
import { ServerChecks, bindCheckChart } from '../src/servers/serverCheck.js';
import { createQuietLoggers } from './quietLoggers.js';

const unanswered = new TypedError(
  ErrorKind.DeadlineExceeded,
  'no answer',
  'start it',
);

/** Answers the probes of a test in order, or not in time; further ones are still waiting. */
class ScriptedControl extends ServerControlPort {
  readonly connections: ConnectionUse[] = [];
  /** Answers the probe that is waiting. */
  answerLate: () => void = () => undefined;

  constructor(private readonly isAnswered: readonly boolean[]) {
    super();
  }

  override placeLayers(): Promise<Result<OrderAnswer>> {
    return Promise.resolve(Err(unanswered));
  }

  override updateChain(): Promise<Result<ChainUpdateAnswer>> {
    return Promise.resolve(Err(unanswered));
  }

  override readHealth(): Promise<Result<ServerHealth>> {
    return Promise.resolve(Err(unanswered));
  }

  get probes(): number {
    return this.connections.length;
  }

  override readReport(
    _address: string,
    _timeoutMs: number,
    connection: ConnectionUse,
  ): Promise<Result<ServerReport>> {
    const isAnswered = this.isAnswered[this.probes];
    this.connections.push(connection);
    if (isAnswered === undefined) {
      return new Promise(resolve => {
        this.answerLate = () => {
          resolve(Ok({ orders: 0, isBusy: false, stalled: [] }));
        };
      });
    }
    return Promise.resolve(
      isAnswered
        ? Ok({ orders: 0, isBusy: false, stalled: [] })
        : Err(unanswered),
    );
  }
}

class CheckFixture {
  readonly control: ScriptedControl;
  readonly unresponsive: string[] = [];
  returns = 0;
  isKnown = true;
  readonly server: Server;
  private readonly clock = new MonotonicClock();
  private readonly loop = new EventLoop<{
    completion: (now: number) => void;
  }>(this.clock);
  private readonly checks: ServerChecks;

  constructor(isAnswered: readonly boolean[]) {
    this.loop.setHandlers({
      completion: (run, now) => {
        run(now);
      },
    });
    const loggers = createQuietLoggers();
    const log = loggers.createLogger(LogComponent.Servers);
    this.control = new ScriptedControl(isAnswered);
    this.server = new Server(
      getOrThrow(bindHealthChart()),
      this.loop,
      {
        serverId: 'i-1',
        service: 'model',
        address: '127.0.0.1:1',
        failureDomain: 'a',
        slots: 10,
        isLeaving: false,
        incarnation: 1,
        sequence: 1,
        kind: 'large',
        range: { from: 0, to: 8 },
      },
      log,
      new ServerIntake(
        getOrThrow(bindIntakeChart()),
        { timers: this.loop, log, policy: new UnlimitedIntake() },
        'i-1',
        this.clock.getNow(),
      ),
      this.clock.getNow(),
      () => {
        this.returns += 1;
      },
    );
    this.checks = new ServerChecks(getOrThrow(bindCheckChart()), {
      timers: this.loop,
      control: this.control,
      postCompletion: run => {
        this.loop.post('completion', run);
      },
      countProbe: () => undefined,
      isKnown: () => this.isKnown,
      handleAnswer: () => undefined,
      handleUnresponsive: (server, reason, now) => {
        this.unresponsive.push(reason);
        server.noteSilent(reason, now);
      },
      handleRefused: (server, reason, now) => {
        server.noteUnreachable(reason, now);
      },
    });
  }

  request(suspicion: string): void {
    this.checks.request(this.server, suspicion, this.clock.getNow());
  }

  /** Lets pending responses arrive. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < 10; turn += 1) {
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  dispose(): void {
    this.server.dispose();
  }
}

let fixture: CheckFixture;

afterEach(() => {
  fixture.dispose();
});

describe('a suspected server', () => {
  it('that answers still gets calls, and is not probed again at once', async () => {
    fixture = new CheckFixture([true]);
    fixture.request('a refusal named it');
    fixture.request('a refusal named it');
    await fixture.settle();
    fixture.request('a refusal named it');
    await fixture.settle();
    expect(fixture.control.probes).toBe(1);
    expect(fixture.unresponsive).toEqual([]);
    expect(fixture.server.isAvailable).toBe(true);
  });

  it('that answers the second probe still gets calls', async () => {
    fixture = new CheckFixture([false, true]);
    fixture.request('its heartbeat is overdue');
    await fixture.settle();
    expect(fixture.control.connections).toEqual([
      ConnectionUse.Kept,
      ConnectionUse.New,
    ]);
    expect(fixture.unresponsive).toEqual([]);
  });

  it('that answers neither probe gets no more calls', async () => {
    fixture = new CheckFixture([false, false]);
    fixture.request('its heartbeat is overdue');
    await fixture.settle();
    expect(fixture.control.probes).toBe(3);
    expect(fixture.unresponsive).toEqual(['its heartbeat is overdue']);
    expect(fixture.server.isAvailable).toBe(false);
    fixture.request('a refusal named it');
    await fixture.settle();
    expect(fixture.control.probes).toBe(3);
  });

  // Guards against probes without end of a server that fell silent and left.
  it('that left while it was silent is not probed any more', async () => {
    fixture = new CheckFixture([false, false, false]);
    fixture.isKnown = false;
    fixture.request('its heartbeat is overdue');
    await fixture.settle();
    await new Promise(resolve => setTimeout(resolve, 2 * watchPauseMs));
    expect(fixture.control.probes).toBe(3);
  });

  // Guards against calls that leave a server which only now goes on with them after a pause.
  it('that answers late counts as having paused until then', async () => {
    fixture = new CheckFixture([]);
    fixture.request('another server was lost or is silent');
    await fixture.settle();
    expect(fixture.server.returnedAt).toBe(-Infinity);
    await new Promise(resolve => setTimeout(resolve, 2 * slowReportMs));
    fixture.control.answerLate();
    await fixture.settle();
    expect(fixture.server.isAvailable).toBe(true);
    expect(fixture.server.returnedAt).toBeGreaterThan(-Infinity);
  });

  // Guards against calls that never leave a server which is far away and has stalled them.
  it.each([
    ['again and again', 1_200, 1_400, 1_100],
    ['once more after a long time', 3_100, 3_200, 3_200],
  ])('that answers late %s', (_, askedAt, answeredAt, returnedAt) => {
    fixture = new CheckFixture([]);
    fixture.server.noteAnswer(1_000, 1_100);
    fixture.server.noteAnswer(askedAt, answeredAt);
    expect(fixture.server.returnedAt).toBe(returnedAt);
  });

  // Guards against a server that gets no calls until its next heartbeat after a pause.
  it('that answers a later probe gets calls again at once', async () => {
    fixture = new CheckFixture([false, false]);
    fixture.request('its heartbeat is overdue');
    await fixture.settle();
    fixture.control.answerLate();
    await fixture.settle();
    expect(fixture.server.isAvailable).toBe(true);
    expect(fixture.returns).toBe(1);
  });
});
