/**
 * Simulation of claims: the real event loop, charts and streams on a manual
 * clock, with a log that delays calls, loses answers and fails, and agents that
 * run attempts, restart and answer late.
 */
import {
  Err,
  ErrorKind,
  LogPart,
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
import { createEnd, toAskedEvent } from '../src/claims/claimEnds.js';
import {
  AskResult,
  ClaimAttemptContext,
  ClaimBook,
  ClaimOwner,
  EventLog,
  LogPort,
  Loop,
  ManualClock,
  type ClaimLogEvents,
  type LogSpan,
} from '../src/index.js';

/** Delay and failure of one call of the log. */
export interface LogFate {
  readonly delayMs: Milliseconds;
  /** The append takes effect, but its answer is lost. */
  readonly isAnswerLost: boolean;
}

const windowMs = 3_600_000;
const quietLog = new LoggerFactory('world', 'error').createLogger(
  LogPart.Claims,
);
const callTimeoutMs = 2_000;
const deadlineMs = 9_000;

const createDown = (): TypedError =>
  new TypedError(ErrorKind.PlatformUnavailable, 'no answer', 'wait');

/** A log whose calls take the given faults in turn. */
export class FatedLog extends LogPort {
  isDown = false;
  appends = 0;
  private readonly streams = new Map<string, string[]>();
  private calls = 0;

  constructor(
    private readonly clock: ManualClock,
    private readonly fates: readonly LogFate[],
  ) {
    super();
  }

  override read(stream: string, from: number): Promise<Result<LogSpan>> {
    const { delayMs } = this.takeFate();
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
    const { delayMs, isAnswerLost } = this.takeFate();
    this.appends += 1;
    return this.answer(delayMs, isAnswerLost, () => {
      const all = this.getStream(stream);
      all.push(...values);
      return all.length - values.length;
    });
  }

  private takeFate(): LogFate {
    this.calls += 1;
    return (
      this.fates[this.calls % Math.max(1, this.fates.length)] ?? {
        delayMs: 1,
        isAnswerLost: false,
      }
    );
  }

  // A call that is in flight when the log goes down fails without effect.
  private answer<T>(
    delayMs: Milliseconds,
    isAnswerLost: boolean,
    take: () => T,
  ): Promise<Result<T>> {
    return new Promise(resolve => {
      this.clock.schedule(delayMs, () => {
        if (this.isDown) {
          resolve(Err(createDown()));
          return;
        }
        const value = take();
        if (isAnswerLost) {
          this.clock.schedule(callTimeoutMs, () => {
            resolve(Err(createDown()));
          });
          return;
        }
        resolve(Ok(value));
      });
    });
  }

  private getStream(name: string): string[] {
    const known = this.streams.get(name) ?? [];
    this.streams.set(name, known);
    return known;
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
export interface Told {
  readonly entry: ClaimEntry;
  readonly key: string;
  readonly claimIds: string[];
  outcome: Outcome | undefined;
  text: string;
}

/** One entry: the real streams and claim charts on a real event loop. */
export class ClaimEntry {
  readonly loop: Loop<ClaimLogEvents>;
  readonly book: ClaimBook;
  isAlive = true;
  private readonly asks = new Set<ClaimAttemptContext>();
  private calls = 0;

  constructor(
    private readonly id: string,
    private readonly clock: ManualClock,
    log: LogPort,
    private readonly agents: readonly FakeAgent[],
    private readonly messageDelayMs: Milliseconds,
  ) {
    this.loop = new Loop<ClaimLogEvents>(clock);
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
    this.book = new ClaimBook(
      { streams: 1, windowMs },
      {
        timers: this.loop,
        logPort: log,
        log: quietLog,
        gathering: new GroupCommit(100, 10),
        postClaimRead: (reader, read) => {
          post('claimRead', { reader, read });
        },
        postClaimAppended: (writer, appended) => {
          post('claimAppended', { writer, appended });
        },
      },
      clock.getNow(),
    );
    this.book.start(clock.getNow());
  }

  /** Makes a call with a key; the result is filled in when the call ends. */
  call(key: string, serverIndex: number): Told {
    const told: Told = {
      entry: this,
      key,
      claimIds: [],
      outcome: undefined,
      text: '',
    };
    this.calls += 1;
    const owner = new WorldOwner(this, told, serverIndex);
    const claim = new ClaimAttemptContext(
      {
        timers: this.loop,
        events: new EventLog(this.id),
        book: this.book,
        requestPromise: (asked, asker) => this.requestPromise(asked, asker),
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
    return told;
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
  sendOffer(claim: ClaimAttemptContext, told: Told): void {
    const { own } = claim;
    const agent = this.agents.find(each => each.serverId === own?.serverId);
    if (!own || !agent) {
      return;
    }
    told.claimIds.push(own.claimId);
    this.clock.schedule(this.messageDelayMs, () => {
      agent.receiveOffer(own, message => {
        this.deliver(() => {
          this.endAttempt(claim, told, message);
        });
      });
    });
  }

  private endAttempt(
    claim: ClaimAttemptContext,
    told: Told,
    message: PeerMessage,
  ): void {
    const now = this.clock.getNow();
    const event = claim.own && toAskedEvent(claim.own, message, now);
    if (claim.own && event?.type === 'RAN') {
      claim.stream.appendEnd(event.end, now);
      told.outcome = event.end.outcome;
      told.text = readText(event.end);
    }
    if (claim.own && event?.type === 'PROMISED') {
      claim.stream.appendEnd(
        createEnd(claim.own, Outcome.NotRun, { reason: '' }, now),
        now,
      );
      told.outcome = Outcome.NotRun;
    }
  }

  private requestPromise(
    asked: {
      serverId: string;
      incarnation: string;
      requestId: string;
      attempt: number;
    },
    asker: ClaimAttemptContext,
  ): AskResult {
    const agent = this.agents.find(each => each.serverId === asked.serverId);
    if (agent?.name !== asked.incarnation) {
      return AskResult.Gone;
    }
    this.asks.add(asker);
    this.clock.schedule(this.messageDelayMs, () => {
      if (agent.name !== asked.incarnation) {
        return;
      }
      agent.receiveRevoke(asked, message => {
        this.deliver(() => {
          this.answerAsker(asker, asked, message);
        });
      });
    });
    return AskResult.Sent;
  }

  private answerAsker(
    asker: ClaimAttemptContext,
    asked: { requestId: string },
    message: PeerMessage,
  ): void {
    const now = this.clock.getNow();
    if (asker.asked?.requestId === asked.requestId) {
      const event = toAskedEvent(asker.asked, message, now);
      if (event) {
        asker.send(event, now);
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

class WorldOwner extends ClaimOwner {
  claim: ClaimAttemptContext | undefined;

  constructor(
    private readonly entry: ClaimEntry,
    private readonly told: Told,
    private readonly serverIndex: number,
  ) {
    super();
  }

  override chooseRoute(): Result<Route> {
    return Ok([this.entry.chooseServer(this.serverIndex)]);
  }

  override handleWon(): void {
    if (this.claim && this.entry.isAlive) {
      this.entry.sendOffer(this.claim, this.told);
    }
  }

  override handleEnded(end: ClaimEndRecord): void {
    this.told.outcome = end.outcome;
    this.told.text = readText(end);
  }

  override handleNotRun(): void {
    this.told.outcome = Outcome.NotRun;
  }

  override handleUnknown(): void {
    this.told.outcome = Outcome.Unknown;
  }
}
