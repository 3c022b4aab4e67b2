/**
 * Runs one call of a gateway with its attempts, answers and charts, between servers and a caller
 * without a network, in virtual time. The loop handles what was posted only when it is told to,
 * so that bytes of several runs may come in one turn.
 */
import type { ChartTimers } from '@lycheetally/charts';
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
  ArrivalOrder,
  BoundedRetry,
  LargestFirstMemory,
  SurvivalForecast,
  type BackendRecord,
  type BackendService,
} from '@lycheetally/decisions';
import { CheapestBalance } from '../src/balance/callBalance.js';
import { bindAttemptChart } from '../src/attempt/attemptChart.js';
import { bindCallChart } from '../src/calls/callActions.js';
import { forecastSettings } from '../src/constants.js';
import { DrainPeriod } from '../src/calls/drainPeriod.js';
import type { GatewayAttempt } from '../src/attempt/gatewayAttempt.js';
import { GatewayCall, type CallServices } from '../src/calls/gatewayCall.js';
import { GatewayMetrics } from '../src/gatewayMetrics.js';
import { GatewayServers } from '../src/servers/gatewayServers.js';
import {
  ServerControlPort,
  type ChainUpdateAnswer,
  type ServerReport,
} from '../src/ports.js';
import { UnlimitedPlaces, type CallPlaces } from '../src/waiting/callPlaces.js';
import { WaitingCalls } from '../src/calls/waitingCalls.js';
import { AcceptResult } from '../src/suspects/acceptResult.js';
import { setAcceptCheck } from './acceptChecks.js';
import { VirtualTime } from './crashEmulator.js';
import { FakeBackend, FakeCaller, FakeFormat } from './fakePorts.js';
import { createQuietLoggers } from './quietLoggers.js';

/** How a server answers questions. */
export const ServerMode = {
  Answering: 'answers',
  Silent: 'is silent',
  Refusing: 'refuses connections',
  Resetting: 'resets connections',
} as const;
export type ServerMode = (typeof ServerMode)[keyof typeof ServerMode];

const requestId = 'r-1';
const defaultTimeoutMs = 30_000;

export interface EmulatedCall {
  readonly isStream: boolean;
  readonly service: BackendService;
  readonly servers: readonly BackendRecord[];
  readonly maxAttempts: number;
  /** Time limit of the call, in milliseconds. */
  readonly timeoutMs?: number;
  /** Creates the places that the call waits for; it waits for none without them. */
  readonly createPlaces?: (
    timers: ChartTimers,
    postCompletion: (run: (now: number) => void) => void,
  ) => CallPlaces;
}

/** Time in which the first server answers a question; the last ones do so first, so that chains without the servers of the running one are found first. */
const lastAnswerMs = 20;

class FakeControl extends ServerControlPort {
  readonly modes = new Map<string, ServerMode>();
  /** Address at which the chain of the call has stalled, as its first server says. */
  stalledAt: string | undefined;
  updateCount = 0;
  /** Updates of the chain that wait for an answer. */
  readonly updates: ((answer: Result<ChainUpdateAnswer>) => void)[] = [];

  constructor(private readonly time: VirtualTime) {
    super();
  }

  override readReport(
    address: string,
    waitMs: number,
  ): Promise<Result<ServerReport>> {
    const mode = this.modes.get(address) ?? ServerMode.Answering;
    const { stalledAt } = this;
    const stalled =
      stalledAt === undefined ? [] : [{ requestId, address: stalledAt }];
    const report = { orders: 0, isBusy: false, stalled };
    const answerMs = lastAnswerMs - Number(address.split(':')[1]);
    return new Promise(resolve => {
      this.time.schedule(mode === ServerMode.Silent ? waitMs : answerMs, () => {
        const kind = errorsByMode[mode];
        resolve(kind ? Err(new TypedError(kind, mode, '')) : Ok(report));
      });
    });
  }

  override updateChain(): Promise<Result<ChainUpdateAnswer>> {
    this.updateCount += 1;
    return new Promise(resolve => this.updates.push(resolve));
  }

  override placeLayers(): never {
    throw new Error('no layers are placed');
  }

  override readHealth(): never {
    throw new Error('no server is asked for its health');
  }
}

const errorsByMode: Readonly<Partial<Record<ServerMode, ErrorKind>>> = {
  [ServerMode.Silent]: ErrorKind.DeadlineExceeded,
  [ServerMode.Refusing]: ErrorKind.BadAddress,
  [ServerMode.Resetting]: ErrorKind.ConnectionLost,
};

/** Allows whatever it is asked about. */
const trustingSuspects = {
  decideFirstAttempt: () => ({ isAllowed: true, isTrial: false }),
  decideDelayedAttempt: () => ({ isAllowed: true, isTrial: false }),
  decideRepeat: () => ({ isAllowed: true, isTrial: false }),
  choosePlacement: () => ({ isFree: true }),
  mayRunTwice: () => true,
  estimateHold: () => 0,
  noteServed: () => undefined,
  noteBroken: () => undefined,
  noteAccepting: () => undefined,
} as unknown as CallServices['suspects'];

export class RunEmulator {
  readonly time = new VirtualTime();
  readonly backend: FakeBackend;
  readonly caller = new FakeCaller();
  readonly control = new FakeControl(this.time);
  readonly call: GatewayCall;
  hasEnded = false;
  private posted: ((now: number) => void)[] = [];
  private readonly metrics = new GatewayMetrics();
  private readonly waitingCalls = new WaitingCalls();
  private readonly log = createQuietLoggers().createLogger(LogComponent.Calls);
  private readonly servers: GatewayServers;

  constructor(readonly emulated: EmulatedCall) {
    setAcceptCheck((address, handleChecked) => {
      this.checkAccepts(address, handleChecked);
    });
    this.backend = new FakeBackend(emulated.isStream);
    this.servers = this.createServers();
    this.call = new GatewayCall(
      this.createServices(),
      createReceived(emulated),
      this.caller,
      0,
      0,
    );
    const machine = getOrThrow(bindCallChart());
    this.call.instance = machine.createInstance(this.call, this.time);
    this.servers.registry.apply(
      emulated.servers.map((value, offset) => ({
        key: value.serverId,
        position: { era: 1, offset },
        value,
      })),
      true,
      0,
    );
    this.call.instance.start(0);
  }

  /** Has the loop handle what was posted. */
  async runTurn(): Promise<void> {
    await settlePromises();
    for (let run = this.posted.shift(); run; run = this.posted.shift()) {
      run(this.time.now);
      await settlePromises();
    }
  }

  /** Lets time pass, with turns of the loop; servers that are there accept connections. */
  async advance(durationMs: number): Promise<void> {
    const until = this.time.now + durationMs;
    while (this.time.now < until) {
      this.time.run(Math.min(until, this.time.now + stepMs));
      this.backend.runs.forEach(run => {
        if (this.control.modes.get(run.address) !== ServerMode.Refusing) {
          run.acceptConnection();
        }
      });
      await this.runTurn();
    }
  }

  /** Has a server say something that is no answer to the call. */
  noteProof(serverId: string): void {
    this.servers.registry.find(serverId)?.noteAlive(this.time.now);
  }

  /** Tells the gateway that a server has lost its running calls. */
  crashServer(serverId: string): void {
    const server = this.servers.registry.find(serverId);
    if (server) {
      this.servers.lossHandler.handleLost(server, this.time.now);
    }
  }

  private checkAccepts(
    address: string,
    handleChecked: (result: AcceptResult) => void,
  ): void {
    const mode = this.control.modes.get(address);
    this.time.schedule(acceptMs, () => {
      handleChecked(
        mode === ServerMode.Refusing ? AcceptResult.Absent : AcceptResult.Open,
      );
    });
  }

  dispose(): void {
    this.call.instance?.dispose();
    this.servers.dispose();
  }

  private post(run: (now: number) => void): void {
    this.posted.push(run);
  }

  private createServers(): GatewayServers {
    const { time, log, metrics, control, waitingCalls } = this;
    return new GatewayServers({
      timers: time,
      log,
      metrics,
      control,
      waitingCalls,
      ownId: 'gateway-1',
      getOutage: () => ({ outageSince: undefined, outageEndedAt: -Infinity }),
      getConfiguration: () => undefined,
      getGatewayIds: () => ['gateway-1'],
      getWallClock: () => time.now,
      listCalls: () => (this.hasEnded ? [] : [this.call]),
      postCompletion: run => {
        this.post(run);
      },
    });
  }

  private createServices(): CallServices {
    const { time, log, metrics, control, waitingCalls, backend } = this;
    const moment = (): { monotonic: number; wallClock: number } => ({
      monotonic: time.now,
      wallClock: time.now,
    });
    return {
      timers: time,
      log,
      metrics,
      format: new FakeFormat(),
      backend,
      control,
      balance: new CheapestBalance(this.servers.registry),
      retryPolicy: new BoundedRetry(),
      serverRegistry: this.servers.registry,
      lossHandler: this.servers.lossHandler,
      attemptMachine: getOrThrow(bindAttemptChart()),
      bufferMemory: new LargestFirstMemory<GatewayAttempt>(1_000_000),
      drainPeriod: new DrainPeriod(),
      durationForecast: new SurvivalForecast(forecastSettings),
      suspects: trustingSuspects,
      waitingCalls,
      places:
        this.emulated.createPlaces?.(time, run => {
          this.post(run);
        }) ?? new UnlimitedPlaces(),
      intakeOrder: new ArrivalOrder(),
      homeDomain: 'a',
      revokeTimeoutMs: defaultTimeoutMs,
      getConfiguration: () => createConfiguration(this.emulated),
      getConfirmedAt: moment,
      getMoment: moment,
      measureViewAge: () => 0,
      isCancellingCalls: () => false,
      postCompletion: run => {
        this.post(run);
      },
      handleCallEnded: () => {
        this.hasEnded = true;
      },
    };
  }
}

/** Time in which a server accepts or refuses a connection. */
const acceptMs = 2;

/** Longest time between two turns of the loop. */
const stepMs = 25;

const settlePromises = async (): Promise<void> => {
  for (let turns = 0; turns < 4; turns += 1) {
    await Promise.resolve();
  }
};

const createReceived = ({
  timeoutMs = defaultTimeoutMs,
}: EmulatedCall): GatewayCall['received'] => ({
  method: 'POST',
  target: '/talk',
  path: '/talk',
  fields: {
    requestId,
    host: 'host',
    key: undefined,
    remainingMs: timeoutMs,
    promptTokens: 10,
    maxOutputTokens: 10,
    hintedOutputTokens: undefined,
    promptParts: [],
    forwarded: [],
  },
  body: Buffer.alloc(0),
  arrivedAt: 0,
  receivedAt: 0,
  readWaits: { listenMs: 0, putOffMs: 0 },
  isOnKeptConnection: false,
});

const createConfiguration = ({
  isStream,
  service,
  maxAttempts,
  timeoutMs = defaultTimeoutMs,
}: EmulatedCall): ReturnType<CallServices['getConfiguration']> => {
  const route = {
    name: 'talk',
    isStream,
    isResumable: true,
    isRepeatable: true,
    isPublic: true,
    maxAttempts,
    timeoutMs,
    targetMs: 400,
    urgency: 0,
    shares: [{ service: service.name, weight: 1 }],
  };
  return {
    version: 1,
    routes: { findRoute: () => route },
    services: new Map([[service.name, service]]),
    keys: undefined,
  } as unknown as ReturnType<CallServices['getConfiguration']>;
};
