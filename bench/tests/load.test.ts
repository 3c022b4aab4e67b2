/** The load tool sends at the planned times, accounts for every request and detects a wrong ledger. */
import { createServer, type Server, type ServerResponse } from 'node:http';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Outcome } from '@lycheetally/decisions';
import { startListening, type LedgerPage } from '@lycheetally/router';
import {
  checkExperiment,
  computeRateFactor,
  planArrivals,
  readExperiment,
  reconcileLedger,
  runLoad,
  writeReport,
  type Experiment,
} from '../src/index.js';

const traffic = `
[traffic.family]
service=pickup-assistant
kind=model
rank=family
accounts=depot-north:3,depot-harbour:1
rate=20
tokens=12
`;

const dropLine = (): void => undefined;

describe('the load tool', () => {
  let folder = '';

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'lycheetally-load-'));
  });
  afterEach(() => {
    rmSync(folder, { recursive: true });
  });

  const readText = (text: string): Experiment => {
    const file = join(folder, 'experiment.ini');
    writeFileSync(file, text);
    return readExperiment(file).unwrap();
  };

  it('plans the same arrivals for the same seed, close to the configured rate', () => {
    const text = `[experiment]\nname=plan\nseed=3\n${traffic}[phase.one]\nseconds=100\n`;
    const plan = planArrivals(readText(text));
    expect(planArrivals(readText(text))).toEqual(plan);
    const other = readText(text.replace('seed=3', 'seed=4'));
    expect(planArrivals(other)).not.toEqual(plan);
    expect(plan.length).toBeGreaterThan(1_850);
    expect(plan.length).toBeLessThan(2_150);
    const large = plan.filter(arrival => arrival.account === 'depot-north');
    expect(large.length / plan.length).toBeCloseTo(0.75, 1);
  });

  it.each([1, 2, 3, 4, 5, 6, 7, 8])(
    'plans a short phase of seed %d close to the configured rate',
    seed => {
      const text = `[experiment]\nname=short\nseed=${String(seed)}\n${traffic}[phase.one]\nseconds=2\n`;
      const { length } = planArrivals(readText(text));
      expect(length).toBeGreaterThan(15);
      expect(length).toBeLessThan(70);
    },
  );

  it.each([
    ['poisson', 0, 1],
    ['flood', 5, 8],
    ['storm', 5, 8],
    ['storm', 0, 1],
    ['burst', 0.2, 8],
    ['burst', 0.7, 1],
  ] as const)('raises the rate in a %s at %d s to %d', (profile, at, raise) => {
    expect(computeRateFactor(profile, 8, at, 10)).toBe(raise);
  });

  it('reports all errors of a file at once', () => {
    const file = join(folder, 'broken.ini');
    writeFileSync(
      file,
      '[experiment]\nname=a b\n[traffic.x]\nservice=s\nkind=odd\nrank=r\naccounts=none\nrate=fast\n[phase.one]\nseconds=0\n',
    );
    const read = readExperiment(file);
    const message = read.err ? read.val.message : '';
    for (const key of [
      'experiment.name',
      'traffic.x.kind',
      'traffic.x.accounts',
      'traffic.x.rate',
      'phase.one.seconds',
    ]) {
      expect(message).toContain(`${file}: ${key}: `);
    }
  });

  it('rejects a phase whose traffic does not exist', () => {
    const text = `[experiment]\nname=stray\n${traffic}[phase.one]\nseconds=1\ntraffic=ghosts\n`;
    expect(() => {
      checkExperiment(readText(text));
    }).toThrow('phase.one.traffic: traffic "ghosts" does not exist');
  });

  it('sends at the planned times without waiting for answers, and measures latency from the planned time', async () => {
    const text = `[experiment]\nname=held\nseed=5\nentries=URL\n[keys]\ndepot-north=k\ndepot-harbour=k\n${traffic}[phase.one]\nseconds=1\n`;
    const planned = planArrivals(
      readText(text.replace('URL', 'http://127.0.0.1:1')),
    );
    const { server, url } = await startHoldingServer(planned.length);
    const report = await runLoad(readText(text.replace('URL', url)), dropLine);
    server.close();
    const first = planned[0]?.atMs ?? 0;
    const last = planned.at(-1)?.atMs ?? 0;
    expect(report.isAccounted).toBe(true);
    expect(report.endings).toEqual({ complete: planned.length });
    expect(report.ranks[0]?.total.max).toBeGreaterThan((last - first) * 0.99);
  });

  it('reports requests that cannot reach an entry as unreached', async () => {
    const text = `[experiment]\nname=nobody\nentries=http://127.0.0.1:1\n[keys]\ndepot-north=k\ndepot-harbour=k\n${traffic}[phase.one]\nseconds=0.5\n`;
    const report = await runLoad(readText(text), dropLine);
    expect(report.endings).toEqual({ unreached: report.planned });
  });

  it('agrees with the ledger to the last request when the only stage is killed', async () => {
    const text = `[experiment]\nname=killed\nseed=2\n[fleet]\nstages=1\nreplicas=1\nplainServers=1\nplainMs=300\n${traffic}
[traffic.bookings]
service=depot-booking
kind=plain
rank=family
accounts=depot-north:1
rate=8
[traffic.strays]
service=pickup-assistant
kind=model
rank=no-such-rank
accounts=depot-north:1
rate=2
[phase.one]
seconds=3
[fault.model]
atSeconds=1
action=kill
process=agent-stage0-0
[fault.booking]
atSeconds=1.5
action=kill
process=agent-depot-booking-0
`;
    const report = await runLoad(readText(text), dropLine);
    expect(report.isAccounted).toBe(true);
    expect(report.ledger).toMatchObject({
      differences: [],
      isExact: true,
      compared: report.planned,
    });
    expect(report.ledger?.ledger.tokens).toBe(report.tokens);
    expect(report.endings['not-run']).toBeGreaterThan(0);
    expect(report.endings.complete).toBeGreaterThan(0);
    const files = await writeReport(report, join(folder, 'report'));
    expect(files).toHaveLength(5);
    expect(readFileSync(files[2] ?? '', 'utf8')).toMatch(/^<svg/);
  });
});

/** Starts a server that holds all responses until it has received `count` requests. */
const startHoldingServer = async (
  count: number,
): Promise<{ server: Server; url: string }> => {
  const held: ServerResponse[] = [];
  const server = createServer((request, response) => {
    request.resume();
    held.push(response);
    if (held.length === count) {
      held.forEach(each => {
        each.setHeader('x-lycheetally-outcome', 'complete');
        each.end('{}');
      });
    }
  });
  const address = { host: '127.0.0.1', port: 0 };
  const { port } = (await startListening(server, address)).unwrap();
  return { server, url: `http://127.0.0.1:${String(port)}` };
};

describe('reconcileLedger', () => {
  const sample = {
    callerRequestId: 'run-0',
    account: 'depot-north',
    rank: 'family',
    service: 's',
    phase: 'one',
    plannedMs: 0,
    lateMs: 0,
    firstTokenMs: 1,
    totalMs: 2,
    ending: 'complete',
    status: 200,
    errorKind: '',
    tokens: 4,
    firstTokenAt: 1,
    endedAt: 2,
  } as const;
  const record = {
    sequence: 1,
    requestId: 'e.1',
    callerRequestId: 'run-0',
    account: 'depot-north',
    rank: 'family',
    service: 's',
    outcome: Outcome.Complete,
    errorKind: '' as const,
    tokensIn: 2,
    tokensOut: 4,
    attempts: 1,
    servers: ['a'],
    receivedAt: 0,
    endedAt: 2,
  } satisfies LedgerPage['records'][number];
  const compare = (
    records: readonly (typeof record | object)[],
  ): readonly string[] =>
    reconcileLedger([sample], {
      records: records as (typeof record)[],
      errors: [],
      dropped: 0,
    }).differences;

  it('agrees with a matching record', () => {
    expect(compare([record])).toEqual([]);
  });

  it.each([
    ['a missing record', [], 'not in the ledger'],
    ['a duplicate record', [record, { ...record, sequence: 2 }], '2 records'],
    [
      'a different outcome',
      [{ ...record, outcome: 'failed' }],
      'failed in the',
    ],
    ['one token too many', [{ ...record, tokensOut: 5 }], '5 in the ledger'],
    ['a different account', [{ ...record, account: 'b' }], 'in the ledger b'],
    [
      'a record without a request',
      [record, { ...record, callerRequestId: 'run-9' }],
      'no caller asked',
    ],
  ])('finds %s', (_, records, message) => {
    expect(compare(records).join()).toContain(message);
  });

  it('is not exact when a ledger cannot be read', () => {
    const reading = { records: [], errors: ['down'], dropped: 0 };
    expect(reconcileLedger([], reading)).toMatchObject({
      isExact: false,
      ledgerFaults: ['down'],
    });
  });
});
