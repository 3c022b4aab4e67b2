/** Emulates gateways and servers of one service, and a call that crashes each server that runs it, in virtual time with a seed. */
import {
  CrashTimes,
  ServingTimes,
  SightingChange,
  SightingSet,
  Suspicion,
  chooseSuspectServer,
  decideSuspicion,
  type BlamePolicy,
  type Sighting,
} from '@lycheetally/decisions';
import { hashText } from '@lycheetally/common';
import { VirtualTime } from './crashEmulator.js';

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

interface Call {
  readonly key: string;
  readonly requestId: string;
  readonly startedAt: number;
  readonly isRepeatable: boolean;
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

  constructor(readonly id: string) {}
}

/** One call that a gateway tracks. */
class Tracked {
  readonly sightings = new SightingSet(64);
  blamedAt: number | undefined;
  lastSentAt = -Infinity;

  constructor(readonly key: string) {}

  get crashCount(): number {
    return this.sightings.listLive().length;
  }

  get isBlamed(): boolean {
    return this.blamedAt !== undefined;
  }
}

interface News {
  readonly key: string;
  readonly sightings: readonly Sighting[];
  readonly blamedAt: number | undefined;
  readonly sentAt: number;
}

class Gateway {
  readonly tracked = new Map<string, Tracked>();
  readonly servings = new ServingTimes(50, 120_000);
  readonly crashTimes = new CrashTimes(256);
  isAnnouncing = false;

  constructor(
    readonly id: string,
    private readonly policy: BlamePolicy,
  ) {}

  track(key: string): Tracked {
    const tracked = this.tracked.get(key) ?? new Tracked(key);
    this.tracked.set(key, tracked);
    return tracked;
  }

  /** Judges a call; a verdict holds until an answer. */
  judge(key: string, now: number): Suspicion {
    const tracked = this.tracked.get(key);
    if (!tracked || tracked.isBlamed) {
      return tracked ? Suspicion.Blamed : Suspicion.None;
    }
    tracked.sightings.removeBefore(now - this.policy.lifetimeMs);
    const all = [...this.tracked.values()];
    const suspicion = decideSuspicion(tracked, all, this, this.policy, now);
    if (suspicion === Suspicion.Blamed) {
      tracked.blamedAt = now;
    }
    return suspicion;
  }

  isTrialDue(key: string, now: number): boolean {
    const { blamedAt = now, sightings, lastSentAt } = this.track(key);
    const live = sightings.listLive();
    const firstMs = this.policy.computeTrialInterval(0);
    const failed = live.filter(({ at }) => at >= blamedAt + firstMs / 2).length;
    const lastAt = Math.max(blamedAt, live.at(-1)?.at ?? 0, lastSentAt);
    const ownMs = this.policy.computeTrialInterval(failed);
    const offset = hashText(this.id) / 2 ** 32;
    const intervalMs = sightings.isOwner()
      ? ownMs
      : Math.max(ownMs, this.policy.computeTrialInterval(1)) * (2 + offset);
    return now >= lastAt + intervalMs;
  }

  noteServed(key: string, now: number): boolean {
    this.servings.add(now);
    const tracked = this.tracked.get(key);
    const wasLive = (tracked?.crashCount ?? 0) > 0;
    if (tracked && wasLive) {
      tracked.sightings.clear(now);
      tracked.blamedAt = undefined;
    }
    return wasLive;
  }

  /** Clears a supposed crash, since its server answered an earlier attempt. */
  disprove(crash: string, now: number): void {
    this.crashTimes.remove(crash);
    for (const { sightings } of this.tracked.values()) {
      sightings.clearCrash(crash, now);
    }
  }

  merge({ key, sightings, blamedAt, sentAt }: News, now: number): void {
    const tracked = this.track(key);
    const delay = now - sentAt;
    for (const sighting of sightings) {
      const { at, clearedAt } = sighting;
      this.crashTimes.add(sighting.crash, at + delay);
      const change = tracked.sightings.join({
        ...sighting,
        at: at + delay,
        sentAt: sighting.sentAt + delay,
        clearedAt: clearedAt === undefined ? undefined : clearedAt + delay,
        isOwn: false,
      });
      if (change === SightingChange.Cleared) {
        this.servings.add(now);
      }
    }
    if (!this.policy.mayHold(tracked.crashCount)) {
      tracked.blamedAt = undefined;
    } else if (blamedAt !== undefined) {
      tracked.blamedAt = Math.min(tracked.blamedAt ?? now, blamedAt + delay);
    }
  }
}

const restartMs = 3_200;
const callerPatienceMs = 6_000;
const waitStepMs = 50;

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
    this.repeat(deadlyPauseMs, 1_000, turn => {
      const requestId = scenario.hasNewIds ? this.createId() : 'd';
      for (let index = 0; index < deadlyBurst; index += 1) {
        this.start(deadlyKey, requestId, turn + index);
      }
    });
    this.repeat(hotIntervalMs, 0, turn => {
      this.start(hotKey, this.createId(), turn);
    });
    this.repeat(1_000 / scenario.soundPerSecond, 0, () => {
      const id = this.createId();
      this.start(id, id, this.pick(scenario.gateways));
    });
    this.repeat(scenario.gatewayRestartMs, 1_500, turn => {
      const index = turn % scenario.gateways;
      this.gateways[index] = this.createGateway(index, turn + 1);
    });
    this.repeat(1_000, 1_000, () => {
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
    const id = `g${String(index)}.${String(run)}`;
    const gateway = new Gateway(id, this.scenario.policy);
    if (run > 0) {
      // A gateway that starts asks others.
      this.time.schedule(this.draw() * this.scenario.maxNewsDelayMs, () => {
        const from = this.pickOne(this.gateways);
        this.sendNews(from, gateway, [...from.tracked.keys()]);
      });
    }
    return gateway;
  }

  private repeat(
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
    return items[this.pick(items.length)] as T;
  }

  private start(key: string, requestId: string, turn: number): void {
    const { gateways, time, scenario } = this;
    const call: Call = {
      key,
      requestId,
      startedAt: time.now,
      isRepeatable: scenario.isRepeatable,
      tries: 0,
    };
    this.soundCalls += key === deadlyKey ? 0 : 1;
    this.attempt(call, gateways[turn % gateways.length] as Gateway);
  }

  /** Sends a call to a server, or lets it wait for one. */
  private attempt(call: Call, gateway: Gateway): void {
    const { now } = this.time;
    const suspicion = gateway.judge(call.key, now);
    if (suspicion === Suspicion.Blamed && !gateway.isTrialDue(call.key, now)) {
      this.lose(call, true);
      return;
    }
    const server = this.chooseServer(call, gateway, suspicion);
    if (server) {
      this.send(call, gateway, server);
    } else if (now - call.startedAt >= callerPatienceMs) {
      this.lose(call, false);
    } else {
      this.time.schedule(waitStepMs, () => {
        this.attempt(call, gateway);
      });
    }
  }

  private chooseServer(
    { key }: Call,
    gateway: Gateway,
    suspicion: Suspicion,
  ): Server | undefined {
    const { policy, servers: total } = this.scenario;
    const up = this.servers.filter(({ isUp }) => isUp);
    if (suspicion === Suspicion.None || !policy.isPlaced) {
      return up.length > 0 ? this.pickOne(up) : undefined;
    }
    const { sightings } = gateway.track(key);
    const chosen = chooseSuspectServer({
      suspectId: key,
      servers: up.map(({ id }) => id),
      living: up.length,
      total,
      sinceCrashMs: this.time.now - (sightings.listLive().at(-1)?.at ?? 0),
    });
    return up.find(({ id }) => id === chosen);
  }

  private send(call: Call, gateway: Gateway, server: Server): void {
    const { time, scenario } = this;
    const run = { call, gateway, sentAt: time.now };
    const isDeadly = call.key === deadlyKey;
    call.tries += 1;
    server.runs.add(run);
    if (isDeadly) {
      this.deadlySends.push(time.now);
      gateway.track(call.key).lastSentAt = time.now;
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
    const { gateway, call } = run;
    const { now } = this.time;
    server.runs.delete(run);
    const supposed = nameCrash(server);
    if (gateway.crashTimes.has(supposed)) {
      gateway.disprove(supposed, now);
    }
    if (gateway.noteServed(call.key, now)) {
      this.announce(gateway, call.key);
    }
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
    this.breakRuns(server, [...server.runs]);
  }

  /** Resets the connections of half of the running calls; the server goes on. */
  private reset(server: Server): void {
    this.breakRuns(
      server,
      [...server.runs].filter(() => this.draw() < 0.5),
    );
  }

  private breakRuns(server: Server, runs: readonly Run[]): void {
    const { now } = this.time;
    const crash = nameCrash(server);
    for (const run of runs) {
      const { call, gateway, sentAt } = run;
      const { requestId } = call;
      server.runs.delete(run);
      gateway.crashTimes.add(crash, now);
      gateway.track(call.key).sightings.join({
        crash,
        requestId,
        at: now,
        sentAt,
        clearedAt: undefined,
        isOwn: true,
      });
      this.announce(gateway, call.key);
    }
    // The reports of one crash come together.
    for (const { call, gateway } of runs) {
      this.repeatOrLose(call, gateway);
    }
  }

  private repeatOrLose(call: Call, gateway: Gateway): void {
    const { now } = this.time;
    const suspicion = gateway.judge(call.key, now);
    const live = gateway.track(call.key).sightings.listLive();
    const { policy } = this.scenario;
    const mayRepeat =
      call.isRepeatable &&
      call.tries < 2 &&
      policy.mayRepeat(suspicion, live, call.requestId);
    if (mayRepeat) {
      this.time.schedule(5, () => {
        this.attempt(call, gateway);
      });
    } else {
      this.lose(call, false);
    }
  }

  private lose({ key }: Call, isRefused: boolean): void {
    if (key !== deadlyKey) {
      this.soundLost += 1;
      this.soundRefused += isRefused ? 1 : 0;
    }
  }

  /** Tells the other gateways what changed about a call. */
  private announce(gateway: Gateway, key: string): void {
    if (gateway.isAnnouncing) {
      return;
    }
    gateway.isAnnouncing = true;
    this.time.schedule(50, () => {
      gateway.isAnnouncing = false;
      for (const other of this.gateways) {
        this.sendNews(gateway, other, [key, deadlyKey, hotKey]);
      }
    });
  }

  /** Each gateway compares all records with another one now and then, since news may be lost. */
  private compareAll(): void {
    for (const gateway of this.gateways) {
      const other = this.pickOne(this.gateways);
      this.sendNews(gateway, other, [...gateway.tracked.keys()]);
      this.sendNews(other, gateway, [...other.tracked.keys()]);
    }
  }

  private sendNews(from: Gateway, to: Gateway, keys: readonly string[]): void {
    const { scenario, time } = this;
    if (from === to || this.draw() < scenario.newsLoss) {
      return;
    }
    const sentAt = time.now;
    const news = [...new Set(keys)].flatMap(key => {
      const tracked = from.tracked.get(key);
      return tracked
        ? [
            {
              key,
              sightings: tracked.sightings.listAll(),
              blamedAt: tracked.blamedAt,
              sentAt,
            },
          ]
        : [];
    });
    time.schedule(this.draw() * (scenario.maxNewsDelayMs - 50), () => {
      for (const item of news) {
        to.merge(item, time.now);
      }
    });
  }
}

const nameCrash = ({ id, incarnation }: Server): string =>
  `${id}#${String(incarnation)}`;
