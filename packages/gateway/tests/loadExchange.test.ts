/** Load reports among 48 gateways in three failure domains, without a network. */
import { describe, expect, it } from 'vitest';
import { LogComponent, type Address } from '@lycheetally/common';
import {
  FlightBoard,
  estimateServerLoad,
  type FlightReport,
  type Flights,
} from '@lycheetally/decisions';
import { LoadExchange } from '../src/balance/loadExchange.js';
import {
  decodeReport,
  decodeSum,
  encodeReport,
  encodeSum,
  formatServerKey,
  type ReceivedSum,
} from '../src/balance/loadMessage.js';
import { LoadReportPort } from '../src/balance/loadPorts.js';
import type { DomainRelay } from '../src/news/peerDirectory.js';
import { ManualTimers } from './manualTimers.js';
import { createQuietLoggers } from './quietLoggers.js';

const domains = ['a', 'b', 'c'];
const serverKeys = Array.from({ length: 52 }, (_, at) =>
  formatServerKey('desk', `i-${String(at)}`),
);

/** Passes messages on at once, unless their receiver is cut off. */
class EmulatedFleet extends LoadReportPort {
  readonly timers = new ManualTimers();
  readonly cutOff = new Set<number>();
  readonly exchanges: readonly LoadExchange[];
  messages = 0;
  handleSent: (sender: string | undefined) => void = () => undefined;

  constructor(count: number) {
    super();
    this.exchanges = Array.from({ length: count }, (_, at) =>
      this.createExchange(at),
    );
    this.exchanges.forEach(exchange => {
      exchange.start(0);
    });
  }

  override send(
    { port }: Address,
    text: string,
  ): Promise<ReceivedSum | undefined> {
    this.messages += 1;
    const report = decodeReport(JSON.parse(text));
    const receiver = this.exchanges[port];
    this.handleSent(report?.sender);
    if (!report || !receiver || this.cutOff.has(port)) {
      return Promise.resolve(undefined);
    }
    const sum = receiver.receiveReport(report, this.timers.now);
    return Promise.resolve(decodeSum(JSON.parse(encodeSum(sum))));
  }

  override dispose(): void {
    this.cutOff.clear();
  }

  async run(durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += stepMs) {
      this.exchanges.forEach(exchange => {
        exchange.noteChanged();
      });
      this.timers.advance(stepMs);
      for (let turns = 0; turns < 8; turns += 1) {
        await Promise.resolve();
      }
    }
  }

  private createExchange(at: number): LoadExchange {
    const failureDomain = domains[at % domains.length] ?? '';
    const relays = domains.map((domain, index): DomainRelay => ({
      id: String(index),
      address: { host: 'x', port: index },
      failureDomain: domain,
    }));
    return new LoadExchange({
      timers: this.timers,
      log: createQuietLoggers().createLogger(LogComponent.Servers),
      port: this,
      ownId: String(at),
      failureDomain,
      incarnation: 1,
      chooseRelay: () =>
        at < domains.length
          ? undefined
          : relays.find(relay => relay.failureDomain === failureDomain),
      listRelaysElsewhere: () =>
        relays.filter(relay => relay.failureDomain !== failureDomain),
      listFlights: () => ownFlights,
      postCompletion: run => {
        run(this.timers.now);
      },
    });
  }
}

const stepMs = 50;

/** Ten streams over chains of nine stages touch most servers. */
const ownFlights: Flights = new Map(
  serverKeys.slice(0, 40).map(key => [key, { calls: 1, layerTokens: 21_000 }]),
);

describe('48 gateways', () => {
  it('know within two seconds what all others have in flight', async () => {
    const fleet = new EmulatedFleet(48);
    await fleet.run(3_000);
    const { now } = fleet.timers;
    for (const exchange of fleet.exchanges) {
      const others = exchange.findOthers(serverKeys[0] ?? '');
      expect(others).toMatchObject({ gateways: 47, calls: 47 });
      expect(now - (others?.asOf ?? 0)).toBeLessThan(2_000);
    }
  });

  // Guards against reports that cost more than they are worth, or grow with the square of the fleet.
  it('spend under 2 KB a second each, and twice the messages in twice the fleet', async () => {
    const fleet = new EmulatedFleet(48);
    const larger = new EmulatedFleet(96);
    await fleet.run(10_000);
    await larger.run(10_000);
    for (const { bytes, sent } of fleet.exchanges.slice(domains.length)) {
      expect(bytes / 10).toBeLessThan(2_000);
      expect(sent).toBeLessThanOrEqual(20);
    }
    expect(larger.messages).toBeLessThan(fleet.messages * 2.1);
  });

  // Guards against a view that stays in force after the relay is gone.
  it('fall back to their own view when their relay does not answer', async () => {
    const fleet = new EmulatedFleet(48);
    await fleet.run(3_000);
    fleet.cutOff.add(0);
    await fleet.run(2_500);
    const cut = fleet.exchanges[3];
    const sound = fleet.exchanges[4];
    expect(cut?.coveredGateways).toBe(0);
    expect(sound?.coveredGateways).toBeGreaterThan(30);
    const own = { calls: 1, layerTokens: 0 };
    const counts = { all: 48, perDomain: 16 };
    const load = estimateServerLoad(
      {
        own,
        others: cut?.findOthers(serverKeys[0] ?? ''),
        told: undefined,
        stepTimeRatio: 1,
      },
      counts,
      fleet.timers.now,
    );
    expect(load.firstStageRequests).toBe(16);
    fleet.cutOff.clear();
    await fleet.run(2_000);
    expect(cut?.coveredGateways).toBe(47);
  });

  // Guards against the links between domains: their relays cannot reach one another.
  it('know their own domain when the relays of the others are cut off', async () => {
    const fleet = new EmulatedFleet(48);
    fleet.cutOff.add(1);
    fleet.cutOff.add(2);
    await fleet.run(3_000);
    // The relays of the others still reach the one of the first domain.
    expect(fleet.exchanges[3]?.coveredGateways).toBeGreaterThanOrEqual(15);
  });
});

describe('a load report', () => {
  const report: FlightReport = {
    sender: 'g-1',
    domain: undefined,
    incarnation: 1.5,
    sequence: 3,
    gateways: 1,
    ageMs: 0,
    flights: ownFlights,
  };

  it('is read as it was written', () => {
    expect(decodeReport(JSON.parse(encodeReport(report)))).toEqual(report);
  });

  it('holds the servers with most in flight when there are too many', () => {
    const flights = new Map(
      Array.from({ length: 2_800 }, (_, at) => [
        formatServerKey('desk', String(at)),
        { calls: 1, layerTokens: at * 1_000 },
      ]),
    );
    const text = encodeReport({ ...report, flights });
    expect(text.length).toBeLessThan(2_400);
    expect(decodeReport(JSON.parse(text))?.flights.size).toBe(128);
  });

  // Guards against a faulty message that spoils the sums of all gateways.
  it.each([
    { sequence: -1 },
    { ageMs: -5 },
    { gateways: 1e12 },
    { flights: 'x,1' },
    { flights: 'x,-1,2;' },
    { flights: 'x,NaN,2;' },
    { flights: 'x,1,2;'.repeat(5_000) },
    { sender: '' },
    { incarnation: null },
  ])('is refused with %j', change => {
    const json: unknown = JSON.parse(encodeReport(report));
    expect(decodeReport({ ...(json as object), ...change })).toBeUndefined();
  });

  // Guards against a faulty message of one gateway that makes the sums of its relay unreadable for all others.
  it('with the largest figures leaves the sums readable', () => {
    const board = new FlightBoard();
    for (const sender of ['g-1', 'g-2']) {
      const text = JSON.stringify({
        ...report,
        sender,
        gateways: 1e9,
        flights: 'x,999999999,999999999;',
      });
      const decoded = decodeReport(JSON.parse(text));
      expect(decoded && board.accept(decoded, 0)).toBe(true);
    }
    const sum = board.computeSum(undefined, 0);
    expect(decodeSum(JSON.parse(encodeSum(sum)))?.flights.size).toBe(1);
    const told = encodeReport({ ...report, ...sum });
    expect(decodeReport(JSON.parse(told))?.flights.size).toBe(1);
  });
});

describe('an answer to a load report', () => {
  // Guards against an exception that nothing handles, which ends the process.
  it('is read even if it holds other values, nested however deep', () => {
    const depth = 50_000;
    const nested = '['.repeat(depth) + ']'.repeat(depth);
    const text = `{"gateways":1,"ageMs":0,"flights":"","x":${nested}}`;
    expect(decodeSum(JSON.parse(text))).toMatchObject({ gateways: 1 });
  });
});

describe('an exchange of load reports that fails unexpectedly', () => {
  // Guards against a rejection that nothing handles, and against reports that end with it.
  it('is logged and followed by others', async () => {
    const fleet = new FailingFleet(4);
    await fleet.run(3_000);
    expect(fleet.messages).toBeGreaterThan(8);
  });
});

describe('an exchange of load reports that is disposed while it waits for an answer', () => {
  // Guards against timers and connections that outlive the gateway.
  it('sends no further report', async () => {
    const fleet = new EmulatedFleet(4);
    await fleet.run(3_000);
    const last = fleet.exchanges[3];
    const sent = last?.sent ?? 0;
    fleet.handleSent = at => {
      if (at === '3') {
        last?.dispose();
      }
    };
    await fleet.run(3_000);
    expect(last?.sent).toBe(sent + 1);
  });
});

class FailingFleet extends EmulatedFleet {
  override send(): Promise<ReceivedSum | undefined> {
    this.messages += 1;
    return Promise.reject(new Error('unexpected'));
  }
}
