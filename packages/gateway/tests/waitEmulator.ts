/**
 * Gateways and callers of one service, over servers whose speed depends on what runs: each
 * further stream slows the others. The gateways use the wait queues as they are, or send
 * every call at once as without them.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { QueueDecision, RunEnd } from '@lycheetally/decisions';
import { GatewayMetrics } from '../src/gatewayMetrics.js';
import { AdaptivePlaces, type CallPlace } from '../src/waiting/index.js';
import { VirtualTime } from './crashEmulator.js';

/** Changes of a figure, each from a time on, in milliseconds. */
export type Steps = readonly (readonly [at: number, value: number])[];

export interface WaitLoad {
  readonly isAdaptive: boolean;
  readonly seed: number;
  readonly gateways: number;
  readonly servers: Steps;
  /** Calls per second. */
  readonly demand: Steps;
  readonly durationMs: number;
  /** Shares of the ranks in the demand. */
  readonly ranks: readonly number[];
  /** Share of the calls that come from one of ten accounts. */
  readonly hotShare: number;
  /** Share of the calls with four times the usual events. */
  readonly largeShare: number;
  /** Share of the callers that leave after a while. */
  readonly leaveShare: number;
  /** How often a caller comes back after a refusal, and whether when it was told. */
  readonly returns: number;
  readonly returnsAtOnce: boolean;
}

export const usualLoad: WaitLoad = {
  isAdaptive: true,
  seed: 1,
  gateways: 12,
  servers: [[0, 8]],
  demand: [[0, 75]],
  durationMs: 10_000,
  ranks: [0.5, 0.3, 0.2],
  hotShare: 0.1,
  largeShare: 0,
  leaveShare: 0,
  returns: 1,
  returnsAtOnce: false,
};

const targets = [501, 601, 1_201];
export const pauseTargetMs = 300;
const timeLimitMs = 20_000;
export const usualEvents = 17;
const largeFactor = 4;
const accounts = 10;
const leaveAfterMs = 200;
const minPauseMs = 20;
const pausePerRunMs = 4;
const slots = 134;
const prefillMs = 50;
const stepMs = 10;
const firstReturnMs = 1_000;
const atOnceMs = 20;
/** Of the present behaviour: the interval of asking again, and the share of its target for which a call does. */
const pollMs = 40;
const pollShare = 0.12;

/** Time between two events of each stream of a server. */
export const computePause = (running: number): number =>
  minPauseMs + pausePerRunMs * running;

export class EmulatedCall {
  sentAt: number | undefined;
  lastEventAt: number | undefined;
  firstAt: number | undefined;
  endedAt: number | undefined;
  longestPauseMs = 0;
  eventsLeft: number;
  refusals = 0;
  isRefused = false;
  /** Sent to a server after its caller had left or its time was over. */
  wasSentInVain = false;
  leavesAt = Infinity;
  progressMs = 0;
  place: CallPlace | undefined;
  server: Set<EmulatedCall> | undefined;

  constructor(
    readonly id: string,
    readonly gateway: number,
    readonly rank: number,
    readonly account: string,
    readonly events: number,
    public arrivedAt: number,
    readonly firstArrivedAt = arrivedAt,
  ) {
    this.eventsLeft = events;
  }

  get targetAt(): number {
    return this.arrivedAt + (targets[this.rank] ?? 0);
  }

  get deadlineAt(): number {
    return this.firstArrivedAt + timeLimitMs;
  }

  get isOnTime(): boolean {
    return (
      this.endedAt !== undefined &&
      this.eventsLeft === 0 &&
      (this.firstAt ?? Infinity) <= this.targetAt &&
      this.longestPauseMs <= pauseTargetMs
    );
  }

  get hasLeft(): boolean {
    return this.endedAt !== undefined && this.eventsLeft > 0 && !this.isRefused;
  }
}

export class WaitEmulator {
  readonly time = new VirtualTime();
  readonly calls: EmulatedCall[] = [];
  readonly places: readonly AdaptivePlaces[];
  private readonly generator;
  /** The most that ran at one server, by tenth of a second. */
  readonly peaks: number[] = [];
  private servers: Set<EmulatedCall>[] = [];

  constructor(private readonly load: WaitLoad) {
    this.generator = xoroshiro128plus(load.seed);
    this.places = Array.from(
      { length: load.gateways },
      () =>
        new AdaptivePlaces({
          timers: this.time,
          metrics: new GatewayMetrics(),
          getRandom: () => this.draw(),
          postCompletion: run => {
            this.time.schedule(0, run);
          },
        }),
    );
  }

  run(): this {
    while (this.time.now < this.load.durationMs) {
      this.time.run(this.time.now + stepMs);
      this.updateServers();
      this.addArrivals();
      this.servers.forEach(server => {
        this.stepServer(server);
      });
      const tenth = Math.floor(this.time.now / 100);
      this.peaks[tenth] = Math.max(
        this.peaks[tenth] ?? 0,
        ...this.servers.map(({ size }) => size),
      );
    }
    return this;
  }

  /** Calls that arrived within the time. */
  listArrived(from: number, until: number): readonly EmulatedCall[] {
    return this.calls.filter(
      ({ arrivedAt }) => arrivedAt >= from && arrivedAt < until,
    );
  }

  /** Calls per second that end on time within the time. */
  computeGoodput(from: number, until: number): number {
    const ended = this.calls.filter(
      ({ isOnTime, endedAt = -1 }) =>
        isOnTime && endedAt >= from && endedAt < until,
    );
    return (ended.length * 1_000) / (until - from);
  }

  /** Share of the calls that arrived first within the time, and match, that end on time, perhaps after a return. */
  computeServed(
    from: number,
    until: number,
    matches: (call: EmulatedCall) => boolean = () => true,
  ): number {
    const served = new Set(
      this.calls.filter(({ isOnTime }) => isOnTime).map(({ id }) => id),
    );
    const first = this.listArrived(from, until).filter(
      call => call.refusals === 0 && matches(call),
    );
    return first.filter(({ id }) => served.has(id)).length / first.length;
  }

  private draw(): number {
    return uniformInt(this.generator, 0, 999_999) / 1_000_000;
  }

  private drawGap(): number {
    return -Math.log(1 - this.draw());
  }

  private findValue(steps: Steps): number {
    return steps.filter(([at]) => at <= this.time.now).at(-1)?.[1] ?? 0;
  }

  private findEnd({ leavesAt, deadlineAt }: EmulatedCall): number {
    return Math.min(leavesAt, deadlineAt);
  }

  private updateServers(): void {
    const count = this.findValue(this.load.servers);
    while (this.servers.length < count) {
      this.servers.push(new Set());
    }
    const lost = this.servers.splice(count);
    for (const call of lost.flatMap(server => [...server])) {
      call.server = undefined;
      call.place?.noteFailure(this.time.now);
      this.send(call);
    }
  }

  private addArrivals(): void {
    const { load, time } = this;
    const mean = (this.findValue(load.demand) * stepMs) / 1_000;
    // Draws the times between independent callers until the step is over.
    for (let at = this.drawGap(); at < mean; at += this.drawGap()) {
      let rank = 0;
      for (let left = this.draw(); rank < load.ranks.length - 1; rank += 1) {
        left -= load.ranks[rank] ?? 0;
        if (left < 0) {
          break;
        }
      }
      const isHot = this.draw() < load.hotShare;
      const account = isHot ? 0 : 1 + Math.floor(this.draw() * (accounts - 1));
      const isLarge = this.draw() < load.largeShare;
      const call = new EmulatedCall(
        String(this.calls.length),
        Math.floor(this.draw() * load.gateways),
        rank,
        String(account),
        usualEvents * (isLarge ? largeFactor : 1),
        time.now,
      );
      if (this.draw() < load.leaveShare) {
        call.leavesAt = time.now + leaveAfterMs;
      }
      this.calls.push(call);
      this.receive(call);
    }
  }

  private receive(call: EmulatedCall): void {
    this.time.schedule(this.findEnd(call) - this.time.now, () => {
      if (call.endedAt === undefined) {
        this.end(call, RunEnd.Cancelled);
      }
    });
    if (!this.load.isAdaptive) {
      this.send(call);
      return;
    }
    call.place = this.places[call.gateway]?.createPlace(
      { name: 'desk', healthPath: '/', model: {} as never },
      () => `${call.account}/${call.id}`,
      {
        handleGranted: () => {
          this.send(call);
        },
        handleRefused: ({ returnMs }) => {
          this.refuse(call, returnMs);
        },
      },
    );
    const decision = call.place?.decide(
      {
        id: call.place.id,
        service: 'desk',
        urgency: call.rank,
        account: call.account,
        kind: String(call.rank),
        arrivedAt: call.arrivedAt,
        targetAt: call.targetAt,
        deadlineAt: call.deadlineAt,
        expectedTokens: call.events,
        spentTokens: 0,
        isUnderWay: false,
        ...call.place.findRefused(),
        targets: { firstMs: targets[call.rank] ?? 0, pauseMs: pauseTargetMs },
        bytes: 1_000,
      },
      this.time.now,
    );
    if (decision === QueueDecision.Run) {
      this.send(call);
    } else if (decision && decision !== QueueDecision.Wait) {
      this.refuse(call, decision.returnMs);
    }
  }

  /** Sends the call to the server that runs least of two. */
  private send(call: EmulatedCall): void {
    if (call.endedAt !== undefined) {
      return;
    }
    const { now } = this.time;
    const [first, second] = [this.pickServer(), this.pickServer()];
    const server = (first?.size ?? 0) <= (second?.size ?? 0) ? first : second;
    if (!server || server.size >= slots) {
      this.deferSend(call);
      return;
    }
    call.wasSentInVain ||= now >= this.findEnd(call);
    call.sentAt = now;
    call.progressMs = -prefillMs;
    call.server = server.add(call);
    call.place?.noteChain(true, now);
  }

  private deferSend(call: EmulatedCall): void {
    const maxWaitMs = (call.targetAt - call.arrivedAt) * pollShare;
    if (this.time.now + pollMs - call.arrivedAt <= maxWaitMs) {
      this.time.schedule(pollMs, () => {
        this.send(call);
      });
    } else {
      this.refuse(call, firstReturnMs);
    }
  }

  private pickServer(): Set<EmulatedCall> | undefined {
    return this.servers[Math.floor(this.draw() * this.servers.length)];
  }

  private refuse(call: EmulatedCall, returnMs: number): void {
    if (call.endedAt !== undefined) {
      return;
    }
    call.isRefused = true;
    this.end(call, RunEnd.Cancelled);
    const { load, time } = this;
    if (call.refusals >= load.returns) {
      return;
    }
    time.schedule(load.returnsAtOnce ? atOnceMs : returnMs, now => {
      const next = new EmulatedCall(
        call.id,
        load.returnsAtOnce
          ? call.gateway
          : Math.floor(this.draw() * load.gateways),
        call.rank,
        call.account,
        call.events,
        now,
        call.firstArrivedAt,
      );
      next.refusals = call.refusals + 1;
      this.calls.push(next);
      this.receive(next);
    });
  }

  private stepServer(server: Set<EmulatedCall>): void {
    const pauseMs = computePause(server.size);
    const { now } = this.time;
    for (const call of server) {
      call.progressMs += stepMs;
      if (call.progressMs < pauseMs) {
        continue;
      }
      call.progressMs -= pauseMs;
      call.place?.noteEvent(now);
      call.firstAt ??= now;
      call.longestPauseMs = Math.max(
        call.longestPauseMs,
        now - (call.lastEventAt ?? now),
      );
      call.lastEventAt = now;
      call.eventsLeft -= 1;
      if (call.eventsLeft === 0) {
        this.end(call, RunEnd.Complete);
      }
    }
  }

  private end(call: EmulatedCall, end: RunEnd): void {
    call.endedAt = this.time.now;
    call.server?.delete(call);
    call.place?.end(end, this.time.now);
  }
}
