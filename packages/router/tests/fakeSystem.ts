/** An entry, agents and backend servers on one manual clock, in memory. */
import { LoggerFactory, Ok, type Result } from '@lycheetally/common';
import {
  BoundedRetry,
  GroupCommit,
  LeastOutstandingRouting,
  NoSnapshots,
  BasicAdmission,
  ServiceKind,
} from '@lycheetally/decisions';
import type { Token } from '@lycheetally/protocol';
import {
  buildFleetConfiguration,
  fleetNames,
  getAccountKey,
  type CallRecord,
  type CallerAnswer,
  type History,
} from '@lycheetally/testkit';
import {
  AgentNode,
  CallerExchange,
  ConfigPublisher,
  EntryNode,
  ManualClock,
  SystemClock,
  VmListPort,
  VmState,
  type CallerOutcome,
  type LogRecord,
  type VmRecord,
} from '../src/index.js';
import {
  FakeEngine,
  FakePlainService,
  FakeSlots,
  type BackendRecords,
} from './fakeBackends.js';
import { FakeLog } from './fakeLog.js';
import { FakeNetwork, FakeWire } from './fakeWire.js';

const layers = 4;
const layersPerStage = 2;
const replicas = 2;
const maxTokens = 4;
const deadlineMs = 6_000;
const slots = 2;
const startTime = 1_000_000;
const startRounds = 20;
const loggers = new LoggerFactory('fake', 'error');

class FakeVmList extends VmListPort {
  readonly vms: VmRecord[] = [];

  override readVms(): Promise<Result<readonly VmRecord[]>> {
    return Promise.resolve(Ok(this.vms));
  }
}

class FakeExchange extends CallerExchange {
  requestId = '';
  text = '';
  readonly ends: CallerOutcome[] = [];
  override hasLeft = false;

  override handleAccepted(requestId: string): void {
    this.requestId = requestId;
  }

  override sendToken(token: Token): void {
    this.text += token.text;
  }

  override finish(outcome: CallerOutcome): void {
    this.ends.push(outcome);
  }
}

interface FakeCall {
  readonly record: CallRecord;
  readonly exchange: FakeExchange;
}

interface FakeAgent {
  readonly name: string;
  readonly node: AgentNode;
  readonly network: FakeNetwork;
}

let publishedRecords: readonly LogRecord[] | undefined;

/** Publishes the configuration on first use; all systems share the records. */
const publishOnce = async (): Promise<readonly LogRecord[]> => {
  if (!publishedRecords) {
    const log = new FakeLog();
    const publisher = new ConfigPublisher(log, new SystemClock(), 'test');
    const configuration = buildFleetConfiguration(layers);
    (await publisher.publish(configuration)).unwrap();
    publishedRecords = log.records;
  }
  return publishedRecords;
};

export class FakeSystem {
  readonly wire = new FakeWire();
  readonly clock = new ManualClock(startTime);
  readonly records: BackendRecords = { passes: [], runs: [], steps: [] };
  /** Errors that handlers of the nodes threw. */
  readonly errors: unknown[] = [];
  readonly calls: FakeCall[] = [];
  private readonly vmList = new FakeVmList();
  private readonly agents = new Map<string, FakeAgent>();
  private entry: EntryNode | undefined;

  async start(): Promise<void> {
    for (let index = 0; index < replicas * 2; index += 1) {
      await this.startAgent(`stage${String(index)}`, index);
    }
    await this.startAgent(fleetNames.booking, replicas * 2);
    const log = new FakeLog();
    log.records.push(...(await publishOnce()));
    this.entry = new EntryNode(
      { ...this.buildSettings('entry'), maxBodyBytes: 1_024, maxServers: 100 },
      {
        clock: this.clock,
        network: new FakeNetwork(this.wire, 'entry'),
        loggers,
        log,
        vmList: this.vmList,
        policies: {
          admission: new BasicAdmission(),
          routing: new LeastOutstandingRouting(),
          retry: new BoundedRetry(),
        },
        appendBatching: new GroupCommit(100, 10),
        snapshots: new NoSnapshots(),
      },
    );
    this.collectErrors(this.entry);
    this.entry.startServing(this.clock.getNow());
    for (let round = 0; round < startRounds; round += 1) {
      await Promise.resolve();
      this.runAll();
    }
  }

  /** Sends a call whose caller disconnects before the entry has handled it. */
  addAbandonedCall(number: number): void {
    this.addCall(number, exchange => {
      exchange.hasLeft = true;
      this.entry?.loop.postEnd('callerGone', { exchange });
    });
  }

  /** Sends a booking for a multiple of three, a completion for any other number. */
  addCall(
    number: number,
    handleSent: (exchange: FakeExchange) => void = () => undefined,
  ): void {
    const callId = `call-${String(this.calls.length)}`;
    const exchange = new FakeExchange();
    const isModel = number % 3 !== 0;
    const common = { callId, answer: undefined };
    const prompt = `a b ${callId}`;
    const record: CallRecord = isModel
      ? { ...common, kind: 'model', prompt, maxTokens }
      : {
          ...common,
          kind: 'plain',
          service: fleetNames.booking,
          isRepeatable: false,
          idempotencyKey: undefined,
        };
    this.calls.push({ record, exchange });
    const body = Buffer.from(JSON.stringify({ callId }));
    const plain = { method: 'POST', path: '/', contentType: '', body };
    this.entry?.loop.post('callReceived', {
      call: {
        callerRequestId: undefined,
        bearerKey: getAccountKey(fleetNames.accounts[0]),
        rank: undefined,
        deadlineMs,
        idempotencyKey: undefined,
        service: isModel ? fleetNames.model : fleetNames.booking,
        model: isModel ? { prompt, maxTokens, generated: [] } : undefined,
        plain: isModel ? undefined : plain,
      },
      exchange,
    });
    handleSent(exchange);
    this.clock.runDeferred();
  }

  /** Disconnects a caller whose call is open. */
  endCaller(number: number): void {
    const call = pickAt(this.calls, number);
    if (call?.exchange.ends.length === 0) {
      const { exchange } = call;
      exchange.hasLeft = true;
      this.entry?.loop.postEnd('callerGone', { exchange });
      this.clock.runDeferred();
    }
  }

  /** Delivers one frame or close; the frames of one end keep their order. */
  deliver(number: number): void {
    pickAt(this.wire.listReady(), number)?.deliverNext();
    this.clock.runDeferred();
  }

  /** Lets one backend server compute one step. */
  compute(number: number): void {
    const { steps } = this.records;
    const step = steps[number % Math.max(1, steps.length)];
    if (step) {
      steps.splice(steps.indexOf(step), 1);
      step();
      this.clock.runDeferred();
    }
  }

  cut(number: number): void {
    const link = pickAt(this.wire.listLinks(), number);
    if (link) {
      this.wire.cutLink(link);
    }
  }

  silence(number: number): void {
    const link = pickAt(this.wire.listLinks(), number >> 1);
    const end = link?.ends[number % 2];
    if (end) {
      end.isSilent = true;
    }
  }

  /** Stops an agent abruptly and starts another at its address. */
  async restart(number: number): Promise<void> {
    const agent = pickAt([...this.agents.values()], number);
    if (!agent) {
      return;
    }
    agent.network.dispose();
    this.wire.dropNode(agent.name);
    const index = [...this.agents.keys()].indexOf(agent.name);
    this.clock.advance(1);
    await this.startAgent(agent.name, index);
  }

  /** Delivers and computes everything that is pending, without advancing the clock. */
  runAll(): void {
    this.clock.runDeferred();
    const hasWork = (): boolean =>
      this.wire.listReady().length + this.records.steps.length > 0;
    for (let left = maxSteps; left > 0 && hasWork(); left -= 1) {
      this.deliver(0);
      this.compute(0);
    }
  }

  /** Runs and advances the clock until every call is answered. */
  runUntilAnswered(): void {
    for (
      let round = 0;
      round < maxAnswerRounds && !this.isEveryCallAnswered;
      round += 1
    ) {
      this.runAll();
      this.clock.advance(answerRoundMs);
    }
  }

  get isEveryCallAnswered(): boolean {
    return this.calls.every(({ exchange }) => exchange.ends.length > 0);
  }

  /** Returns the number of exchanges that ended more than once. */
  countRepeatedEnds(): number {
    return this.calls.filter(({ exchange }) => exchange.ends.length > 1).length;
  }

  readHistory(): History {
    const { passes, runs } = this.records;
    const calls = this.calls.map(({ record, exchange }) => ({
      ...record,
      answer: toAnswer(exchange),
    }));
    return { layers, calls, passes, runs };
  }

  private async startAgent(name: string, index: number): Promise<void> {
    const network = new FakeNetwork(this.wire, name);
    const isPlain = name === fleetNames.booking;
    const layerFrom = isPlain ? 0 : (index % 2) * layersPerStage;
    const records: BackendRecords = this.records;
    const node = new AgentNode(
      {
        ...this.buildSettings(`agent-${name}`),
        silenceTimeoutMs: 2_000,
        knownEntries: [],
        backend: {
          serverId: name,
          kind: isPlain ? ServiceKind.Plain : ServiceKind.Model,
          service: isPlain ? fleetNames.booking : fleetNames.model,
          layerFrom,
          layerTo: isPlain ? 0 : layerFrom + layersPerStage,
          slots,
        },
      },
      {
        clock: this.clock,
        network,
        loggers,
        backend: isPlain
          ? new FakePlainService(records)
          : new FakeEngine(records, layers),
        slots: new FakeSlots(slots),
      },
    );
    this.collectErrors(node);
    const address = { host: '127.0.0.1', port: firstPort + index };
    await node.listenForPeers(address);
    node.startServing(this.clock.getNow());
    if (!this.agents.has(name)) {
      const agentAddress = `127.0.0.1:${String(address.port)}`;
      const failureDomain = 'bc-south-a';
      const state = VmState.Live;
      this.vmList.vms.push({ vmId: name, agentAddress, failureDomain, state });
    }
    this.agents.set(name, { name, node, network });
  }

  private buildSettings(id: string): {
    id: string;
    failureDomain: string;
    drainTimeoutMs: number;
  } {
    return { id, failureDomain: 'bc-south-a', drainTimeoutMs: 1_000 };
  }

  private collectErrors(node: EntryNode | AgentNode): void {
    node.loop.handlerFailed.subscribe(({ thrown }) => this.errors.push(thrown));
  }
}

const firstPort = 1;
const maxSteps = 5_000;
const maxAnswerRounds = 200;
const answerRoundMs = 100;

const pickAt = <T>(list: readonly T[], number: number): T | undefined =>
  list[number % Math.max(1, list.length)];

const toAnswer = (exchange: FakeExchange): CallerAnswer | undefined => {
  const [end] = exchange.ends;
  if (!end) {
    return undefined;
  }
  const body = end.plain ? Buffer.from(end.plain.body).toString() : undefined;
  return {
    status: 200,
    requestId: exchange.requestId,
    outcome: end.outcome,
    text: exchange.text,
    body: body === undefined ? end.error : JSON.parse(body),
    isDone: end.outcome === 'complete',
    firstTokenMs: undefined,
    totalMs: 0,
  };
};
