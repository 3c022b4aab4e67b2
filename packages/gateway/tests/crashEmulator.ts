/** Emulates gateways, servers and prompts of which some parts crash servers, in virtual time with a seed. */
import { ChartTimers } from '@lycheetally/charts';
import {
  ComponentLogger,
  LogComponent,
  getOrThrow,
  type Disposable,
} from '@lycheetally/common';
import {
  UnservedCall,
  UnservedPart,
  type BlamePolicy,
} from '@lycheetally/decisions';
import {
  CrashSuspectTracker,
  TraitKind,
  bindSuspectChart,
  type SuspectTrackerOptions,
  type TracedCall,
} from '../src/index.js';

class SilentLog extends ComponentLogger {
  constructor() {
    super(undefined as never, LogComponent.Prompts);
  }

  override info(): void {
    return;
  }

  override warn(): void {
    return;
  }
}

/** Runs callbacks in the order of their virtual times. */
export class VirtualTime extends ChartTimers {
  now = 0;
  private readonly queue: { at: number; run: (now: number) => void }[] = [];

  override schedule(delay: number, run: (now: number) => void): Disposable {
    const entry = { at: this.now + delay, run };
    let low = 0;
    let high = this.queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.queue[middle]?.at ?? 0) > entry.at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.queue.splice(low, 0, entry);
    return {
      dispose: () => {
        entry.run = () => undefined;
      },
    };
  }

  run(until: number): void {
    for (
      let next = this.queue.at(-1);
      next && next.at <= until;
      next = this.queue.at(-1)
    ) {
      this.queue.pop();
      this.now = next.at;
      next.run(next.at);
    }
    this.now = until;
  }
}

const machine = getOrThrow(bindSuspectChart());

export const createTracker = (
  timers: ChartTimers,
  gatewayId: string,
  policy: BlamePolicy = new UnservedPart(),
  callPolicy: BlamePolicy = new UnservedCall(),
  describeFleet?: SuspectTrackerOptions['describeFleet'],
): CrashSuspectTracker =>
  new CrashSuspectTracker({
    machine,
    timers,
    log: new SilentLog(),
    policies: { part: policy, call: callPolicy },
    gatewayId,
    ...(describeFleet && { describeFleet }),
  });

export interface Scenario {
  readonly seed: number;
  readonly gateways: number;
  readonly servers: number;
  readonly requestsPerSecond: number;
  /** Share of the requests with each deadly part. */
  readonly share: number;
  readonly deadlyParts: readonly string[];
  /** When the deadly parts begin to crash servers; they are sound before. */
  readonly deadlyFromMs: number;
  readonly deadlyPosition: 0 | 1;
  readonly durationMs: number;
  readonly maxNewsDelayMs: number;
  /** Share of the news that is lost. */
  readonly newsLoss: number;
  /** Times of crashes with other causes, and the share of the servers that crash at each. */
  readonly otherCrashes: readonly { at: number; share: number }[];
  /** When all gateways lose what they know. */
  readonly restartAtMs?: number;
  readonly policy?: BlamePolicy;
}

interface Attempt {
  readonly call: TracedCall;
  readonly gateway: number;
  readonly tries: number;
  events: number;
  isOver: boolean;
}

interface EmulatedServer {
  incarnation: number;
  isUp: boolean;
  attempts: Attempt[];
}

const callers = 6;
const documents = 60;
/** Time for which changes are collected before they are sent. */
const coalesceMs = 50;
const restartMs = 3_200;
const attemptLimit = 3;

export class CrashEmulator {
  readonly time = new VirtualTime();
  /** Times of crashes by deadly part. */
  readonly crashes = new Map<string, number[]>();
  /** Times at which calls with a deadly part were sent, by part. */
  readonly sent = new Map<string, number[]>();
  /** Sound parts that some gateway refused. */
  readonly wronglyRefused = new Set<string>();
  readonly soundSent: number[] = [];
  readonly soundRefused: number[] = [];
  trackers: CrashSuspectTracker[] = [];
  private readonly servers: EmulatedServer[] = [];
  private readonly announced: number[] = [];
  private readonly isAnnouncing: boolean[] = [];
  private requests = 0;
  private state: number;

  constructor(private readonly scenario: Scenario) {
    this.state = scenario.seed * 2_654_435_761 + 1;
    for (let index = 0; index < scenario.servers; index += 1) {
      this.servers.push({ incarnation: 1, isUp: true, attempts: [] });
    }
  }

  run(): this {
    const { scenario, time } = this;
    this.startTrackers();
    this.scheduleRequest();
    time.schedule(500, () => {
      this.sendAllNews();
    });
    for (const { at, share } of scenario.otherCrashes) {
      time.schedule(at, () => {
        for (const server of this.servers) {
          if (this.draw() < share) {
            this.cutServer(server);
          }
        }
      });
    }
    if (scenario.restartAtMs !== undefined) {
      time.schedule(scenario.restartAtMs, () => {
        this.startTrackers();
      });
    }
    time.run(scenario.durationMs);
    return this;
  }

  /** Calls with the part that were sent later than 3 s after its fifth crash. */
  countLate(part: string): number {
    const fifth = this.crashes.get(part)?.[4];
    const sent = this.sent.get(part) ?? [];
    return fifth === undefined
      ? 0
      : sent.filter(at => at > fifth + 3_000).length;
  }

  private startTrackers(): void {
    const { scenario, time } = this;
    this.trackers.forEach(tracker => {
      tracker.dispose();
    });
    this.trackers = Array.from({ length: scenario.gateways }, (_, index) =>
      createTracker(
        time,
        `gateway-${String(index)}`,
        scenario.policy,
        undefined,
        () => ({
          total: this.servers.length,
          troubled: this.servers.flatMap(({ isUp }, at) =>
            isUp ? [] : [`s${String(at)}`],
          ),
        }),
      ),
    );
    this.announced.length = 0;
  }

  private draw(): number {
    this.state = (Math.imul(this.state, 1_664_525) + 1_013_904_223) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return ((mixed ^ (mixed >>> 16)) >>> 0) / 2 ** 32;
  }

  private pick(count: number): number {
    return Math.floor(this.draw() * count);
  }

  private scheduleRequest(): void {
    const gap =
      (-Math.log(1 - this.draw()) * 1_000) / this.scenario.requestsPerSecond;
    this.time.schedule(gap, () => {
      this.startRequest();
      this.scheduleRequest();
    });
  }

  private startRequest(): void {
    const { scenario, time } = this;
    const { deadlyParts, share, deadlyPosition } = scenario;
    this.requests += 1;
    const requestId = `r${String(this.requests)}`;
    // Squared, so that some documents are popular and others rare.
    const document = `d${String(Math.floor(this.draw() ** 2 * documents))}`;
    const parts = [`c${String(this.pick(callers))}`, document];
    const index = Math.floor(this.draw() / share);
    const deadly = deadlyParts[index];
    if (deadly !== undefined) {
      parts.splice(deadlyPosition, 0, deadly);
    }
    const call = { requestId, service: 'model', parts };
    const gateway = this.pick(scenario.gateways);
    const tracker = this.trackers[gateway];
    const isAllowed =
      tracker?.decideFirstAttempt(call, time.now).isAllowed ?? false;
    if (deadly === undefined) {
      (isAllowed ? this.soundSent : this.soundRefused).push(time.now);
    }
    this.checkRefused(gateway);
    if (isAllowed) {
      this.send({ call, gateway, tries: 1, events: 0, isOver: false });
    }
  }

  private findDeadly({ parts }: TracedCall): string | undefined {
    return this.scenario.deadlyParts.find(part => parts.includes(part));
  }

  private send(attempt: Attempt): void {
    const { time } = this;
    const up = this.servers.filter(({ isUp }) => isUp);
    const server = up[this.pick(up.length)];
    if (!server) {
      return;
    }
    const deadly = this.findDeadly(attempt.call);
    if (deadly !== undefined && time.now >= this.scenario.deadlyFromMs) {
      append(this.sent, deadly, time.now);
    }
    server.attempts.push(attempt);
    time.schedule(150 + this.draw() * 350, () => {
      if (attempt.isOver) {
        return;
      }
      if (deadly !== undefined && time.now >= this.scenario.deadlyFromMs) {
        append(this.crashes, deadly, time.now);
        this.cutServer(server);
        return;
      }
      attempt.events = 1;
      time.schedule(60, () => {
        this.deliver(server, attempt);
      });
    });
  }

  private deliver(server: EmulatedServer, attempt: Attempt): void {
    if (attempt.isOver) {
      return;
    }
    attempt.isOver = true;
    server.attempts = server.attempts.filter(other => other !== attempt);
    const tracker = this.trackers[attempt.gateway];
    tracker?.noteServed(attempt.call, this.time.now);
    this.scheduleNews(attempt.gateway);
  }

  private cutServer(server: EmulatedServer): void {
    if (!server.isUp) {
      return;
    }
    const { time } = this;
    const broken = server.attempts.filter(({ isOver }) => !isOver);
    const run = {
      serverId: `s${String(this.servers.indexOf(server))}`,
      incarnation: server.incarnation,
    };
    server.isUp = false;
    server.attempts = [];
    time.schedule(restartMs, () => {
      server.isUp = true;
      server.incarnation += 1;
    });
    for (const attempt of broken) {
      attempt.isOver = true;
      const { gateway, call, tries } = attempt;
      const tracker = this.trackers[gateway];
      tracker?.noteBroken(call, run, time.now);
      this.checkRefused(gateway);
      const mayRepeat = tracker?.decideRepeat(call, time.now).isAllowed;
      if (mayRepeat && tries < attemptLimit) {
        time.schedule(5, () => {
          this.send({
            call,
            gateway,
            tries: tries + 1,
            events: 0,
            isOver: false,
          });
        });
      }
      this.scheduleNews(gateway);
    }
  }

  private scheduleNews(gateway: number): void {
    const tracker = this.trackers[gateway];
    if (!tracker || tracker.revision === this.announced[gateway]) {
      return;
    }
    this.announced[gateway] = tracker.revision;
    if (!this.isAnnouncing[gateway]) {
      this.isAnnouncing[gateway] = true;
      this.time.schedule(coalesceMs, () => {
        this.isAnnouncing[gateway] = false;
        this.sendNews(gateway);
      });
    }
  }

  private sendNews(from: number): void {
    const { scenario, time } = this;
    const records = this.trackers[from]?.listRecords(time.now) ?? [];
    this.trackers.forEach((tracker, to) => {
      if (to !== from && this.draw() >= scenario.newsLoss) {
        time.schedule(
          this.draw() * (scenario.maxNewsDelayMs - coalesceMs),
          () => {
            tracker.mergeRecords(records, time.now);
            this.checkRefused(to);
          },
        );
      }
    });
  }

  /** Sends all records to all gateways now and then, since news may be lost. */
  private sendAllNews(): void {
    this.trackers.forEach((tracker, index) => {
      if (tracker.countTracked(TraitKind.PromptPart) > 0) {
        this.sendNews(index);
      }
    });
    this.time.schedule(2_000, () => {
      this.sendAllNews();
    });
  }

  private checkRefused(gateway: number): void {
    for (const { trait } of this.trackers[gateway]?.listRefused() ?? []) {
      if (!this.scenario.deadlyParts.includes(trait.id)) {
        this.wronglyRefused.add(trait.id);
      }
    }
  }
}

const append = (
  lists: Map<string, number[]>,
  key: string,
  value: number,
): void => {
  lists.set(key, [...(lists.get(key) ?? []), value]);
};
