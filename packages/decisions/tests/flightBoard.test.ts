/** Reports of calls in flight that arrive late, repeated, out of order or from before a restart. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  FlightBoard,
  estimateServerLoad,
  type FlightReport,
  type InFlight,
  type OthersInFlight,
} from '../src/index.js';

const createReport = (
  changes: Partial<FlightReport> & { readonly calls: number },
): FlightReport => ({
  sender: 'g-1',
  domain: undefined,
  incarnation: 1,
  sequence: 1,
  gateways: 1,
  ageMs: 0,
  flights: new Map([['s', { calls: changes.calls, layerTokens: 0 }]]),
  ...changes,
});

const countCalls = (board: FlightBoard, now: number): number | undefined =>
  board.computeSum(undefined, now).flights.get('s')?.calls;

describe('FlightBoard', () => {
  // Guards against a late message that replaces a newer one.
  it('keeps the newest report of each gateway, in whatever order and how often they arrive', () => {
    const arrivals = fc.array(
      fc.record({
        incarnation: fc.integer({ min: 1, max: 3 }),
        sequence: fc.integer({ min: 0, max: 5 }),
      }),
      { minLength: 1, maxLength: 30 },
    );
    fc.assert(
      fc.property(arrivals, numbers => {
        const board = new FlightBoard();
        const rank = ({ incarnation, sequence }: (typeof numbers)[0]): number =>
          incarnation * 10 + sequence;
        for (const each of numbers) {
          board.accept(createReport({ ...each, calls: rank(each) }), 100);
        }
        expect(countCalls(board, 100)).toBe(Math.max(...numbers.map(rank)));
      }),
    );
  });

  it('counts each gateway once, and leaves out the one that asks', () => {
    const board = new FlightBoard();
    board.accept(createReport({ calls: 3 }), 0);
    board.accept(createReport({ calls: 3 }), 10);
    board.accept(createReport({ sender: 'g-2', calls: 4 }), 10);
    expect(countCalls(board, 10)).toBe(7);
    expect(board.computeSum('g-2', 10)).toMatchObject({ gateways: 1 });
  });

  // Guards against a domain whose older figures count while newer ones are there.
  it('counts the newer of two reports for a domain that cover as many gateways', () => {
    const board = new FlightBoard();
    const domain = 'b';
    board.accept(createReport({ sender: 'g-1', domain, calls: 1 }), 0);
    board.accept(createReport({ sender: 'g-2', domain, calls: 2 }), 1_000);
    expect(countCalls(board, 1_100)).toBe(2);
  });

  // Guards against the calls of a dead gateway that count for ever.
  it('leaves out reports older than two seconds, on their way too', () => {
    const board = new FlightBoard();
    board.accept(createReport({ calls: 3, ageMs: 1_500 }), 0);
    expect(countCalls(board, 400)).toBe(3);
    expect(countCalls(board, 600)).toBeUndefined();
  });

  // Guards against a gateway that is never heard again since its clock stepped back at a restart.
  it('takes a lower incarnation once the earlier one is forgotten', () => {
    const board = new FlightBoard();
    board.accept(createReport({ incarnation: 9, calls: 1 }), 0);
    const restarted = createReport({ incarnation: 2, calls: 5 });
    expect(board.accept(restarted, 3_000)).toBe(false);
    expect(board.accept({ ...restarted, sequence: 30 }, 10_500)).toBe(true);
    expect(countCalls(board, 10_500)).toBe(5);
  });

  // Guards against a domain that counts twice while two of its gateways take themselves for the relay.
  it('counts a failure domain once, by the relay that covers most', () => {
    const board = new FlightBoard();
    const relay = { domain: 'b', gateways: 9, calls: 90 };
    board.accept(createReport({ ...relay, sender: 'r-1' }), 0);
    board.accept(
      createReport({ ...relay, sender: 'r-2', gateways: 4, calls: 40 }),
      0,
    );
    expect(countCalls(board, 0)).toBe(90);
  });

  it('keeps a bounded number of senders', () => {
    const board = new FlightBoard();
    for (let at = 0; at < 3_000; at += 1) {
      board.accept(createReport({ sender: String(at), calls: 1 }), 0);
    }
    expect(countCalls(board, 0)).toBe(1_024);
  });
});

describe('the estimate of a load', () => {
  const own: InFlight = { calls: 2, layerTokens: 20 };
  const others: OthersInFlight = {
    calls: 10,
    layerTokens: 100,
    gateways: 47,
    asOf: 0,
  };
  const counts = { all: 48, perDomain: 16 };
  const estimate = (
    known: Partial<Parameters<typeof estimateServerLoad>[0]>,
    now: number,
  ): number =>
    estimateServerLoad(
      { own, others: undefined, told: undefined, stepTimeRatio: 1, ...known },
      counts,
      now,
    ).firstStageRequests;

  it('is the own calls times the gateways of the domain without reports', () => {
    expect(estimate({}, 0)).toBe(32);
  });

  it('takes recent reports, and its own view again when they are old', () => {
    expect(estimate({ others }, 500)).toBe(12);
    expect(estimate({ others }, 2_000)).toBe(32);
    expect(estimate({ others }, 9_000)).toBe(32);
    expect(estimate({ others }, 1_750)).toBeGreaterThan(12);
  });

  it('takes gateways without a report for the mean of those with one', () => {
    const half = { ...others, gateways: 24, calls: 5 };
    expect(estimate({ others: half }, 0)).toBeCloseTo(2 + (5 * 47) / 24);
  });

  // Guards against one report that is taken for all gateways after a relay restarts.
  it('counts the reports of few gateways little', () => {
    const few = { ...others, gateways: 1, calls: 10 };
    expect(estimate({ others: few }, 0)).toBeLessThan(60);
  });

  it('follows what the server told, and forgets it within seconds', () => {
    const told = { calls: 7, asOf: 0, ownCalls: 1 };
    expect(estimate({ told }, 0)).toBe(8);
    expect(estimate({ told }, 500)).toBe(20);
    expect(estimate({ told }, 10_000)).toBeCloseTo(32, 3);
  });
});
