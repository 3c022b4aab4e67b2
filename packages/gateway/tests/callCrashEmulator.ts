/** Emulates gateways and servers of one service, and a call that crashes each server that runs it, in virtual time with a seed. */
import type { BlamePolicy } from '@lycheetally/decisions';
import { hashText } from '@lycheetally/common';
import { CallIdentity } from '../src/suspects/callIdentity.js';
import type { CrashSuspectTracker, TracedCall } from '../src/index.js';
import { VirtualTime, createTracker } from './crashEmulator.js';

export interface CallScenario {
  readonly seed: number;
  readonly policy: BlamePolicy;
  readonly gateways: number;
  readonly servers: number;
  readonly durationMs: number;
  /** Pause between two deadly calls; none are sent if it is infinite. */
  readonly deadlyPauseMs: number;
  /** Gateways at which each deadly call arrives at once. */
  readonly deadlyBurst: number;
  readonly runToCrashMs: number;
  readonly isRepeatable: boolean;
  /** Whether each deadly call has an id of its own. */
  readonly hasNewIds: boolean;
  /** Interval of a sound call that is always the same. */
  readonly hotIntervalMs: number;
  readonly hotRunMs: number;
  /** Sound calls of other callers a second, all different. */
  readonly soundPerSecond: number;
  readonly maxNewsDelayMs: number;
  /** Share of the news that is lost. */
  readonly newsLoss: number;
  /** Crashes with other causes, and the share of the servers at each. */
  readonly otherCrashes: readonly { at: number; share: number }[];
  /** Times at which the connections of a server are reset without a crash. */
  readonly resets: readonly number[];
  /** Interval at which one gateway after another starts anew. */
  readonly gatewayRestartMs: number;
}

export const deadlyKey = 'deadly';
export const hotKey = 'hot';

interface Call extends TracedCall {
  readonly key: string;
  readonly startedAt: number;
  isTrial: boolean;
  tries: number;
}

interface Run {
  readonly call: Call;
  readonly gateway: Gateway;
  readonly sentAt: number;
}

class Server {
  incarnation = 1;
  isUp = true;
  readonly runs = new Set<Run>();

  constructor(readonly serverId: string) {}
}

interface Gateway {
  readonly tracker: CrashSuspectTracker;
  /** Revision of the tracker that was last announced. */
  announced: number;
  isAnnouncing: boolean;
}

const restartMs = 3_200;
const callerPatienceMs = 6_000;
const waitStepMs = 50;
const maxTries = 2;
/** Time for which changes are collected before they are sent. */
const coalesceMs = 50;

export class CallCrashEmulator {
  readonly time = new VirtualTime();
  /** Times of the crashes that the deadly call caused, and of its attempts. */
  readonly deadlyCrashes: number[] = [];
  readonly deadlySends: number[] = [];
  /** Sound calls, those refused by a verdict, and those not served for any cause. */
  soundCalls = 0;
  soundRefused = 0;
  soundLost = 0;
  /** Time without a living server. */
  darkMs = 0;
  private darkSince = 0;
  private readonly servers: Server[];
  private readonly gateways: Gateway[];
  private requests = 0;
  private state: number;

  constructor(private readonly scenario: CallScenario) {
    this.state = scenario.seed * 2_654_435_761 + 1;
    this.servers = Array.from(
      { length: scenario.servers },
      (_, index) => new Server(`s${String(index)}`),
    );
    this.gateways = Array.from({ length: scenario.gateways }, (_, index) =>
      this.createGateway(index, 0),
    );
  }

  run(): this {
    const { scenario, time } = this;
    const { deadlyPauseMs, deadlyBurst, hotIntervalMs } = scenario;
    this.scheduleEach(deadlyPauseMs, 1_000, turn => {
      const requestId = scenario.hasNewIds ? this.createId() : 'd';
      for (let index = 0; index < deadlyBurst; index += 1) {
        this.start(deadlyKey, requestId, turn + index);
      }
    });
    this.scheduleEach(hotIntervalMs, 0, turn => {
      this.start(hotKey, this.createId(), turn);
    });
    this.scheduleEach(1_000 / scenario.soundPerSecond, 0, () => {
      const id = this.createId();
      this.start(id, id, this.pick(scenario.gateways));
    });
    this.scheduleEach(scenario.gatewayRestartMs, 1_500, turn => {
      const index = turn % scenario.gateways;
      this.gateways[index] = this.createGateway(index, turn + 1);
    });
    this.scheduleEach(1_000, 1_000, () => {
      this.compareAll();
    });
    for (const { at, share } of scenario.otherCrashes) {
      time.schedule(at, () => {
        const isHit = (): boolean => this.draw() < share;
        this.servers.filter(isHit).forEach(server => {
          this.crash(server);
        });
      });
    }
    for (const at of scenario.resets) {
      time.schedule(at, () => {
        this.reset(this.pickOne(this.servers));
      });
    }
    time.run(scenario.durationMs);
    return this;
  }

  /** Deadly attempts later than 2 s after the third crash. */
  get lateSends(): number {
    const third = this.deadlyCrashes[2] ?? Infinity;
    return this.deadlySends.filter(at => at > third + 2_000).length;
  }

  private createGateway(index: number, run: number): Gateway {
    const { time, scenario } = this;
    const id = `g${String(index)}.${String(run)}`;
    const tracker = createTracker(time, id, undefined, scenario.policy, () => ({
      total: this.servers.length,
      troubled: this.servers
        .filter(({ isUp }) => !isUp)
        .map(({ serverId }) => serverId),
    }));
    const gateway = { tracker, announced: 0, isAnnouncing: false };
    if (run > 0) {
      // A gateway that starts asks another one.
      this.sendNews(this.pickOne(this.gateways), gateway);
    }
    return gateway;
  }

  private scheduleEach(
    interval: number,
    first: number,
    run: (turn: number) => void,
  ): void {
    if (interval === Infinity) {
      return;
    }
    const step = (turn: number): void => {
      run(turn);
      this.time.schedule(interval, () => {
        step(turn + 1);
      });
    };
    this.time.schedule(first, () => {
      step(0);
    });
  }

  private createId(): string {
    this.requests += 1;
    return `r${String(this.requests)}`;
  }

  private draw(): number {
    this.state = (Math.imul(this.state, 1_664_525) + 1_013_904_223) >>> 0;
    return hashText(String(this.state)) / 2 ** 32;
  }

  private pick(count: number): number {
    return Math.floor(this.draw() * count);
  }

  private pickOne<T>(items: readonly T[]): T {
    return getOrFail(items[this.pick(items.length)]);
  }

  private start(key: string, requestId: string, turn: number): void {
    const { gateways, time } = this;
    const identity = createIdentity(key);
    const call: Call = {
      key,
      requestId,
      service: 'model',
      parts: [],
      identity,
      startedAt: time.now,
      isTrial: false,
      tries: 0,
    };
    this.soundCalls += key === deadlyKey ? 0 : 1;
    const gateway = getOrFail(gateways[turn % gateways.length]);
    const decision = gateway.tracker.decideFirstAttempt(call, time.now);
    if (decision.isAllowed) {
      call.isTrial = decision.isTrial;
      this.sendOrWait(call, gateway);
    } else {
      this.recordLost(call, true);
    }
  }

  /** Sends a call to a server, or lets it wait for one. */
  private sendOrWait(call: Call, gateway: Gateway): void {
    const { now } = this.time;
    const { tracker } = gateway;
    const isFirst = call.tries === 0;
    const decision = isFirst
      ? tracker.decideDelayedAttempt(call, now)
      : tracker.decideRepeat(call, now);
    if (!decision.isAllowed && !call.isTrial) {
      this.recordLost(call, isFirst);
      return;
    }
    const server = this.chooseServer(call, tracker);
    if (server) {
      this.send(call, gateway, server);
    } else if (now - call.startedAt >= callerPatienceMs) {
      this.recordLost(call, false);
    } else {
      this.time.schedule(waitStepMs, () => {
        this.sendOrWait(call, gateway);
      });
    }
  }

  private chooseServer(
    call: Call,
    tracker: CrashSuspectTracker,
  ): Server | undefined {
    const up = this.servers.filter(({ isUp }) => isUp);
    const choice = {
      candidates: up,
      usable: up,
      total: this.scenario.servers,
    };
    const placement = tracker.choosePlacement(call, choice, this.time.now);
    if (!placement.isFree) {
      return up.find(({ serverId }) => serverId === placement.serverId);
    }
    return up.length > 0 ? this.pickOne(up) : undefined;
  }

  private send(call: Call, gateway: Gateway, server: Server): void {
    const { time, scenario } = this;
    const run = { call, gateway, sentAt: time.now };
    const isDeadly = call.key === deadlyKey;
    call.tries += 1;
    server.runs.add(run);
    if (isDeadly) {
      this.deadlySends.push(time.now);
    }
    const runMs = isDeadly
      ? scenario.runToCrashMs
      : (call.key === hotKey ? scenario.hotRunMs : 100) * (0.5 + this.draw());
    time.schedule(runMs, () => {
      if (!server.runs.has(run)) {
        return;
      }
      if (isDeadly) {
        this.deadlyCrashes.push(time.now);
        this.crash(server);
      } else {
        this.finish(run, server);
      }
    });
  }

  private finish(run: Run, server: Server): void {
    const { gateway, call, sentAt } = run;
    const { serverId, incarnation } = server;
    server.runs.delete(run);
    const attempt = { serverId, incarnation, sentAt };
    gateway.tracker.noteServed(call, this.time.now, attempt);
    this.publish(gateway);
  }

  private crash(server: Server): void {
    if (!server.isUp) {
      return;
    }
    const { time } = this;
    server.isUp = false;
    this.darkSince = time.now;
    time.schedule(restartMs, () => {
      const isDark = this.servers.every(({ isUp }) => !isUp);
      this.darkMs += isDark ? time.now - this.darkSince : 0;
      server.isUp = true;
      server.incarnation += 1;
    });
    this.cutRuns(server, [...server.runs]);
  }

  /** Resets the connections of half of the running calls; the server goes on. */
  private reset(server: Server): void {
    this.cutRuns(
      server,
      [...server.runs].filter(() => this.draw() < 0.5),
    );
  }

  private cutRuns(server: Server, runs: readonly Run[]): void {
    const { now } = this.time;
    const { serverId, incarnation } = server;
    for (const run of runs) {
      const { call, gateway, sentAt } = run;
      server.runs.delete(run);
      const attempt = { serverId, incarnation, sentAt };
      gateway.tracker.noteBroken(call, attempt, now);
      this.publish(gateway);
    }
    // The connections of one server break together.
    for (const { call, gateway } of runs) {
      this.handleBroken(call, gateway);
    }
  }

  private handleBroken(call: Call, gateway: Gateway): void {
    const mayRepeat =
      this.scenario.isRepeatable &&
      call.tries < maxTries &&
      !call.isTrial &&
      gateway.tracker.decideRepeat(call, this.time.now).isAllowed;
    if (mayRepeat) {
      this.time.schedule(5, () => {
        this.sendOrWait(call, gateway);
      });
    } else {
      this.recordLost(call, false);
    }
  }

  private recordLost({ key }: Call, isRefused: boolean): void {
    if (key !== deadlyKey) {
      this.soundLost += 1;
      this.soundRefused += isRefused ? 1 : 0;
    }
  }

  /** Tells the other gateways what changed. */
  private publish(gateway: Gateway): void {
    const { tracker, announced, isAnnouncing } = gateway;
    if (isAnnouncing || tracker.revision === announced) {
      return;
    }
    gateway.isAnnouncing = true;
    this.time.schedule(coalesceMs, () => {
      gateway.isAnnouncing = false;
      gateway.announced = tracker.revision;
      for (const other of this.gateways) {
        this.sendNews(gateway, other);
      }
    });
  }

  /** Each gateway compares its records with another one now and then, since news may be lost. */
  private compareAll(): void {
    for (const gateway of this.gateways) {
      const other = this.pickOne(this.gateways);
      this.sendNews(gateway, other);
      this.sendNews(other, gateway);
    }
  }

  private sendNews(from: Gateway, to: Gateway): void {
    const { scenario, time } = this;
    const records = from.tracker.listRecords(time.now);
    const isLost = this.draw() < scenario.newsLoss;
    if (from === to || isLost || records.length === 0) {
      return;
    }
    time.schedule(this.draw() * (scenario.maxNewsDelayMs - coalesceMs), () => {
      to.tracker.mergeRecords(records, time.now);
    });
  }
}

const getOrFail = <T>(item: T | undefined): T => {
  if (item === undefined) {
    throw new Error('the emulated fleet is empty');
  }
  return item;
};

const createIdentity = (key: string): CallIdentity =>
  new CallIdentity({
    method: 'POST',
    target: '/run',
    account: '',
    parts: [],
    body: Buffer.from(key),
  });
