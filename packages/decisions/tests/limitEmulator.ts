/** Emulates gateways that share the limits of servers, with views of each other that are late and wrong. */
import { SharedLimitIntake, type LimitShare } from '../src/index.js';

export interface LimitScenario {
  readonly gateways: number;
  readonly servers: number;
  /** Requests per second that each server takes. */
  readonly limitPerSecond: number;
  /** Calls per second, over all gateways, as a multiple of what all servers take. */
  readonly demand: number;
  /** Part of the gateways that each gateway does not know, and of those that it knows and that are gone. */
  readonly unknownShare: number;
  /** Whether all gateways know the limits from the beginning on. */
  readonly areTold: boolean;
  /** Largest error of a gateway's time of day, in milliseconds. */
  readonly clockErrorMs: number;
  readonly seed: number;
  createShare(): LimitShare;
}

export interface LimitResult {
  /** Requests that told gateways sent to one server within 4 s, at most. */
  readonly mostInWindow: number;
  /** Part of what all servers take that was sent. */
  readonly use: number;
}

const runMs = 24_000;
/** The limits are in force from this time on after they were first named. */
const contactMs = 3_000;
const windowMs = 4_000;
const answerMs = 40;
/** A request counts when its gateway had been told this long before. */
const toldMs = 500;
/** Calls are sent in the order of such steps. */
const stepMs = 10;
/** Attempts of a caller, each at another gateway. */
const maxAttempts = 3;
const maxRetryMs = 2_000;

interface EmulatedServer {
  readonly id: string;
  readonly arrivals: number[];
}

class EmulatedGateway {
  private readonly intakes = new Map<EmulatedServer, SharedLimitIntake>();
  private readonly toldAt = new Map<EmulatedServer, number>();
  private readonly isLimited = new Set<EmulatedServer>();
  private readonly share: LimitShare;
  private readonly known: readonly string[];

  constructor(
    private readonly scenario: LimitScenario,
    private readonly id: string,
    others: readonly string[],
    private readonly clockErrorMs: number,
    random: () => number,
  ) {
    this.share = scenario.createShare();
    this.known = others
      .map((other, at) =>
        random() < scenario.unknownShare ? `gone-${String(at)}` : other,
      )
      .concat(id);
  }

  /** Sends a call to one of the servers; returns how long to wait if none takes it. */
  send(servers: readonly EmulatedServer[], now: number): number {
    let shortest = Infinity;
    for (const server of servers) {
      const intake = this.getIntake(server, now);
      const waitMs = intake.estimateWait(now);
      if (waitMs === 0) {
        intake.noteSent(now);
        this.noteSent(server, now);
        return 0;
      }
      shortest = Math.min(shortest, waitMs);
    }
    return shortest;
  }

  private noteSent(server: EmulatedServer, now: number): void {
    const toldAt = this.toldAt.get(server) ?? now + answerMs;
    this.toldAt.set(server, toldAt);
    if (this.scenario.areTold || now - toldAt >= toldMs) {
      server.arrivals.push(now);
    }
  }

  private getIntake(server: EmulatedServer, now: number): SharedLimitIntake {
    const { limitPerSecond, gateways } = this.scenario;
    let intake = this.intakes.get(server);
    if (!intake) {
      intake = new SharedLimitIntake(limit =>
        this.share.computeShare({
          serverId: server.id,
          limitPerSecond: limit,
          ownId: this.id,
          gateways: this.known,
          groupShare: 1 / gateways,
          wallClock: now + this.clockErrorMs,
        }),
      );
      this.intakes.set(server, intake);
    }
    const toldAt = this.scenario.areTold ? 0 : this.toldAt.get(server);
    if (toldAt !== undefined && now >= toldAt && !this.isLimited.has(server)) {
      this.isLimited.add(server);
      intake.setLimit(limitPerSecond, now);
    }
    return intake;
  }
}

/** Runs the scenario; the servers name their limits from the beginning on. */
export const runLimits = (scenario: LimitScenario): LimitResult => {
  const random = createRandom(scenario.seed);
  const pickOne = <T>(items: readonly T[]): T =>
    items[Math.floor(random() * items.length)] as T;
  const ids = Array.from(
    { length: scenario.gateways },
    (_, at) => `gateway-${String(at)}`,
  );
  const gateways = ids.map(
    id =>
      new EmulatedGateway(
        scenario,
        id,
        ids.filter(other => other !== id),
        (2 * random() - 1) * scenario.clockErrorMs,
        random,
      ),
  );
  const servers = Array.from({ length: scenario.servers }, (_, at) => ({
    id: `server-${String(at)}`,
    arrivals: [],
  }));
  const steps: EmulatedCall[][] = Array.from(
    { length: runMs / stepMs },
    () => [],
  );
  const addCall = (call: EmulatedCall): void => {
    steps[Math.floor(call.at / stepMs)]?.push(call);
  };
  const callCount =
    (servers.length * scenario.limitPerSecond * scenario.demand * runMs) /
    1_000;
  for (let at = 0; at < callCount; at += 1) {
    addCall({ at: random() * runMs, attempts: 1 });
  }
  for (const [at, step] of steps.entries()) {
    for (const { attempts } of step) {
      const now = at * stepMs;
      const first = Math.floor(random() * servers.length);
      const tried = [...servers.slice(first), ...servers.slice(0, first)];
      const waitMs = pickOne(gateways).send(tried, now);
      if (waitMs > 0 && attempts < maxAttempts) {
        const delayMs = Math.max(stepMs, Math.min(waitMs, maxRetryMs));
        addCall({ at: now + delayMs, attempts: attempts + 1 });
      }
    }
  }
  return measure(servers, scenario.limitPerSecond);
};

interface EmulatedCall {
  readonly at: number;
  readonly attempts: number;
}

const measure = (
  servers: readonly EmulatedServer[],
  limitPerSecond: number,
): LimitResult => {
  let mostInWindow = 0;
  let sent = 0;
  for (const { arrivals } of servers) {
    const counted = arrivals
      .filter(at => at >= contactMs)
      .sort((a, b) => a - b);
    sent += counted.length;
    let first = 0;
    counted.forEach((at, last) => {
      while (at - (counted[first] ?? at) > windowMs) {
        first += 1;
      }
      mostInWindow = Math.max(mostInWindow, last - first + 1);
    });
  }
  const taken = (servers.length * limitPerSecond * (runMs - contactMs)) / 1_000;
  return { mostInWindow, use: sent / taken };
};

/** Park and Miller's minimal standard generator, from 0 to 1. */
const createRandom = (seed: number): (() => number) => {
  let state = (seed % 2_147_483_646) + 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
};
