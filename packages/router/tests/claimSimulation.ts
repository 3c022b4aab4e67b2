/**
 * Simulation of claims: the real event loop, charts and streams on a manual
 * clock, with a log that delays calls, loses answers and fails, and agents that
 * run attempts, restart and answer late.
 */
import {
  Err,
  ErrorKind,
  LogComponent,
  LoggerFactory,
  Ok,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import {
  GroupCommit,
  Outcome,
  ServiceKind,
  type ClaimEndRecord,
  type Route,
  type ServerView,
} from '@lycheetally/decisions';
import { MessageKind, type PeerMessage } from '@lycheetally/protocol';
import { createEndRecord, toClaimEvent } from '../src/claims/claimEnds.js';
import {
  SendResult,
  ClaimAttemptContext,
  ClaimLog,
  ClaimOwner,
  EventLog,
  LogPort,
  EventLoop,
  ManualClock,
  type ClaimLogEvents,
  type LogSpan,
} from '../src/index.js';

/** Delay and failure of one call of the log. */
export interface LogFault {
  readonly delayMs: Milliseconds;
  /** The append takes effect, but its answer is lost. */
  readonly isAnswerLost: boolean;
}

const windowMs = 3_600_000;
const quietLog = new LoggerFactory('simulation', 'error').createLogger(
  LogComponent.Claims,
);
const callTimeoutMs = 2_000;
const deadlineMs = 9_000;

const createUnavailableError = (): TypedError =>
  new TypedError(ErrorKind.PlatformUnavailable, 'no answer', 'wait');

/** A log whose calls take the given faults in turn. */
export class FaultyLog extends LogPort {
  isDown = false;
  appends = 0;
  private readonly streams = new Map<string, string[]>();
  private calls = 0;

  constructor(
    private readonly clock: ManualClock,
    private readonly faults: readonly LogFault[],
  ) {
    super();
  }

  override read(stream: string, from: number): Promise<Result<LogSpan>> {
    const { delayMs } = this.takeFault();
    return this.answer(delayMs, false, () => {
      const all = this.getStream(stream);
      const records = all
        .slice(from)
        .map((value, index) => ({ offset: from + index, value }));
      return { first: 0, next: Math.max(from, all.length), records };
    });
  }

  override append(
    stream: string,
    values: readonly string[],
  ): Promise<Result<number>> {
    const { delayMs, isAnswerLost } = this.takeFault();
    this.appends += 1;
    return this.answer(delayMs, isAnswerLost, () => {
      const all = this.getStream(stream);
      all.push(...values);
      return all.length - values.length;
    });
  }

  private takeFault(): LogFault {
    this.calls += 1;
    return (
      this.faults[this.calls % Math.max(1, this.faults.length)] ?? {
        delayMs: 1,
        isAnswerLost: false,
      }
    );
  }

  // A call that is in flight when the log goes down fails without effect.
  private answer<T>(
    delayMs: Milliseconds,
    isAnswerLost: boolean,
    execute: () => T,
  ): Promise<Result<T>> {
    return new Promise(resolve => {
      this.clock.schedule(delayMs, () => {
        if (this.isDown) {
          resolve(Err(createUnavailableError()));
          return;
        }
        const value = execute();
        if (isAnswerLost) {
          this.clock.schedule(callTimeoutMs, () => {
            resolve(Err(createUnavailableError()));
          });
          return;
        }
        resolve(Ok(value));
      });
    });
  }

  private getStream(name: string): string[] {
    const stream = this.streams.get(name) ?? [];
    this.streams.set(name, stream);
    return stream;
  }
}

/** A fake agent that, like `AgentNode`, runs an attempt at most once. */
export class FakeAgent {
  incarnation = 1;
  readonly runs: { key: string; claimId: string }[] = [];
  private ends = new Map<string, PeerMessage>();
  private running = new Set<string>();

  constructor(
    readonly serverId: string,
    private readonly clock: ManualClock,
    private readonly workMs: Milliseconds,
  ) {}

  get name(): string {
    return `${this.serverId}.${String(this.incarnation)}`;
  }

  restart(): void {
    this.incarnation += 1;
    this.ends = new Map();
    this.running = new Set();
  }

  receiveOffer(
    claim: {
      key: string;
      claimId: string;
      requestId: string;
      attempt: number;
      incarnation: string;
    },
    reply: (message: PeerMessage) => void,
  ): void {
    const ref = { requestId: claim.requestId, attempt: claim.attempt };
    const id = `${ref.requestId}/${String(ref.attempt)}`;
    const end = this.ends.get(id);
    if (end || claim.incarnation !== this.name) {
      reply(end ?? { kind: MessageKind.Revoked, value: ref });
      return;
    }
    this.running.add(id);
    this.runs.push({ key: claim.key, claimId: claim.claimId });
    const { incarnation } = this;
    this.clock.schedule(this.workMs, () => {
      if (incarnation !== this.incarnation) {
        return;
      }
      this.running.delete(id);
      const finished: PeerMessage = {
        kind: MessageKind.Finished,
        value: {
          ...ref,
          finishReason: '',
          promptTokens: 0,
          generatedTokens: 0,
          plain: {
            status: 200,
            contentType: 'text/plain',
            body: Buffer.from(claim.claimId),
          },
        },
      };
      this.ends.set(id, finished);
      reply(finished);
    });
  }

  receiveRevoke(
    ref: { requestId: string; attempt: number },
    reply: (message: PeerMessage) => void,
  ): void {
    const value = { requestId: ref.requestId, attempt: ref.attempt };
    const id = `${ref.requestId}/${String(ref.attempt)}`;
    if (this.running.has(id)) {
      reply({ kind: MessageKind.Started, value });
      return;
    }
    const end = this.ends.get(id) ?? { kind: MessageKind.Revoked, value };
    this.ends.set(id, end);
    reply(end);
  }
}

/** Result of one call, as its caller sees it. */
export interface CallResult {
  readonly entry: SimulatedEntry;
  readonly key: string;
  readonly claimIds: string[];
  outcome: Outcome | undefined;
  text: string;
}

/** One entry: the real streams and claim charts on a real event loop. */
export class SimulatedEntry {
  readonly loop: EventLoop<ClaimLogEvents>;
  readonly claimLog: ClaimLog;
  isAlive = true;
  private readonly queries = new Set<ClaimAttemptContext>();
  private calls = 0;

  constructor(
    private readonly id: string,
    private readonly clock: ManualClock,
    log: LogPort,
    private readonly agents: readonly FakeAgent[],
    private readonly messageDelayMs: Milliseconds,
  ) {
    this.loop = new EventLoop<ClaimLogEvents>(clock);
    this.loop.setHandlers({
      claimRead: ({ reader, read }, now) => {
        reader.receiveRead(read, now);
      },
      claimAppended: ({ writer, appended }, now) => {
        writer.receiveAppended(appended, now);
      },
    });
    const post = <K extends keyof ClaimLogEvents>(
      kind: K,
      payload: ClaimLogEvents[K],
    ): void => {
      if (this.isAlive) {
        this.loop.post(kind, payload);
      }
    };
    this.claimLog = new ClaimLog(
      { streams: 1, windowMs },
      {
        timers: this.loop,
        logPort: log,
        log: quietLog,
        appendBatching: new GroupCommit(100, 10),
        postClaimRead: (reader, read) => {
          post('claimRead', { reader, read });
        },
        postClaimAppended: (writer, appended) => {
          post('claimAppended', { writer, appended });
        },
      },
      clock.getNow(),
    );
    this.claimLog.start(clock.getNow());
  }

  /** Makes a call with a key; the result is filled in when the call ends. */
  call(key: string, serverIndex: number): CallResult {
    const result: CallResult = {
      entry: this,
      key,
      claimIds: [],
      outcome: undefined,
      text: '',
    };
    this.calls += 1;
    const owner = new SimulatedClaimOwner(this, result, serverIndex);
    const claim = new ClaimAttemptContext(
      {
        timers: this.loop,
        events: new EventLog(this.id),
        claimLog: this.claimLog,
        requestRevocation: (holder, querier) =>
          this.requestRevocation(holder, querier),
      },
      owner,
      {
        idempotencyKey: key,
        key,
        bodyHash: 'same',
        ref: { requestId: `${this.id}.${String(this.calls)}`, attempt: 1 },
      },
    );
    owner.claim = claim;
    claim.start(this.clock.getNow());
    this.loop.schedule(deadlineMs, now => {
      claim.send({ type: 'WITHDRAW' }, now);
    });
    return result;
  }

  chooseServer(index: number): ServerView {
    const agent = this.agents[index % this.agents.length] ?? this.agents[0];
    return {
      serverId: agent?.serverId ?? '',
      agentAddress: '',
      incarnation: agent?.name ?? '',
      service: 'booking',
      kind: ServiceKind.Plain,
      layerFrom: 0,
      layerTo: 0,
      failureDomain: '',
      isConnected: true,
      isLeaving: false,
      outstanding: 0,
    };
  }

  /** Sends the attempt to its agent; the offer and its answer arrive after a delay. */
  sendOffer(claim: ClaimAttemptContext, result: CallResult): void {
    const { ownRecord } = claim;
    const agent = this.agents.find(
      each => each.serverId === ownRecord?.serverId,
    );
    if (!ownRecord || !agent) {
      return;
    }
    result.claimIds.push(ownRecord.claimId);
    this.clock.schedule(this.messageDelayMs, () => {
      agent.receiveOffer(ownRecord, message => {
        this.deliver(() => {
          this.endAttempt(claim, result, message);
        });
      });
    });
  }

  private endAttempt(
    claim: ClaimAttemptContext,
    result: CallResult,
    message: PeerMessage,
  ): void {
    const now = this.clock.getNow();
    const event =
      claim.ownRecord && toClaimEvent(claim.ownRecord, message, now);
    if (claim.ownRecord && event?.type === 'RAN') {
      claim.stream.appendEnd(event.end, now);
      result.outcome = event.end.outcome;
      result.text = readText(event.end);
    }
    if (claim.ownRecord && event?.type === 'REVOKED') {
      claim.stream.appendEnd(
        createEndRecord(claim.ownRecord, Outcome.NotRun, { reason: '' }, now),
        now,
      );
      result.outcome = Outcome.NotRun;
    }
  }

  private requestRevocation(
    holder: {
      serverId: string;
      incarnation: string;
      requestId: string;
      attempt: number;
    },
    claim: ClaimAttemptContext,
  ): SendResult {
    const agent = this.agents.find(each => each.serverId === holder.serverId);
    if (agent?.name !== holder.incarnation) {
      return SendResult.Restarted;
    }
    this.queries.add(claim);
    this.clock.schedule(this.messageDelayMs, () => {
      if (agent.name !== holder.incarnation) {
        return;
      }
      agent.receiveRevoke(holder, message => {
        this.deliver(() => {
          this.deliverAnswer(claim, holder, message);
        });
      });
    });
    return SendResult.Sent;
  }

  private deliverAnswer(
    claim: ClaimAttemptContext,
    holder: { requestId: string },
    message: PeerMessage,
  ): void {
    const now = this.clock.getNow();
    if (claim.queriedClaim?.requestId === holder.requestId) {
      const event = toClaimEvent(claim.queriedClaim, message, now);
      if (event) {
        claim.send(event, now);
      }
    }
  }

  private deliver(run: () => void): void {
    this.clock.schedule(this.messageDelayMs, () => {
      if (this.isAlive) {
        run();
      }
    });
  }
}

const readText = (end: ClaimEndRecord): string =>
  Buffer.from(end.answer?.body ?? '', 'base64').toString();

class SimulatedClaimOwner extends ClaimOwner {
  claim: ClaimAttemptContext | undefined;

  constructor(
    private readonly entry: SimulatedEntry,
    private readonly result: CallResult,
    private readonly serverIndex: number,
  ) {
    super();
  }

  override chooseRoute(): Result<Route> {
    return Ok([this.entry.chooseServer(this.serverIndex)]);
  }

  override handleWon(): void {
    if (this.claim && this.entry.isAlive) {
      this.entry.sendOffer(this.claim, this.result);
    }
  }

  override handleEnded(end: ClaimEndRecord): void {
    this.result.outcome = end.outcome;
    this.result.text = readText(end);
  }

  override handleNotRun(): void {
    this.result.outcome = Outcome.NotRun;
  }

  override handleUnknown(): void {
    this.result.outcome = Outcome.Unknown;
  }
}
