/**
 * Measures the time from the publication of a configuration until it is in
 * force on every node, for 3 entries and 43 agents, with and without an outage
 * of the log that follows the publication.
 */
import { ConfigPublisher, HttpLog, SystemClock } from '@lycheetally/router';
import {
  RouterFleet,
  buildFleetConfiguration,
  defaultFleetOptions,
  waitUntil,
} from '@lycheetally/testkit';
import { Bench, type BenchOptions } from '../types.js';

const rounds = 20;
const outageRounds = 3;
const outageMs = 5_000;
const millisecondsPerSecond = 1_000;
const inForceTimeoutMs = 60_000;

/**
 * The size of the current fleet: 40 backend servers for models, and 3 for the
 * booking application, which `startBookingAgent` adds.
 */
export const currentFleet = {
  ...defaultFleetOptions,
  entries: 3,
  stages: 1,
  replicas: 40,
  plainServers: 0,
};

const bookingAgents = 3;

interface InForceEvent {
  readonly kind: string;
  readonly stamp: number;
  readonly detail?: { readonly version?: number };
}

/** Resolution of the timestamps of `HybridClock`. */
const timestampsPerMillisecond = 4_096;

export class PropagationBench extends Bench {
  override readonly name = 'config-propagation';
  override readonly summary =
    'seconds from the publication of a configuration until it is in force on the last node (p99)';
  override readonly unit = 's';

  protected override async measure({
    report,
  }: BenchOptions): ReturnType<Bench['measure']> {
    const fleet = new RouterFleet(currentFleet);
    try {
      await fleet.start();
      for (let index = 0; index < bookingAgents; index += 1) {
        await startBookingAgent(fleet, index);
      }
      const nodes = listNodes(fleet);
      report(`${String(nodes.length)} nodes are up`);
      const normalSeconds = await measureRounds(fleet, nodes, rounds, 0);
      const secondsWithOutage = await measureRounds(
        fleet,
        nodes,
        outageRounds,
        outageMs,
      );
      return {
        baseline: null,
        ours: pickQuantile(normalSeconds, 0.99),
        detail: {
          nodes: nodes.length,
          rounds,
          p50Seconds: pickQuantile(normalSeconds, 0.5),
          outageSeconds: outageMs / millisecondsPerSecond,
          outageRounds,
          p99SecondsAfterOutageBegan: pickQuantile(secondsWithOutage, 0.99),
        },
      };
    } finally {
      await fleet.dispose();
    }
  }
}

const startBookingAgent = async (
  fleet: RouterFleet,
  index: number,
): Promise<void> => {
  const server = `booking-${String(index)}`;
  const address = await fleet.processes.startStandIn(
    `service-${server}`,
    'plain-service',
  );
  const url = `http://${address}`;
  const backend = { url, kind: 'plain', service: 'depot-booking' };
  await fleet.startAgent(server, backend, index);
};

const listNodes = (fleet: RouterFleet): readonly string[] =>
  fleet.processes
    .listProcesses()
    .map(process => process.name)
    .filter(name => /^(entry|agent)-/.test(name));

/** Returns, for each round, the seconds until the version is in force on the last node. */
const measureRounds = async (
  fleet: RouterFleet,
  nodes: readonly string[],
  count: number,
  outageDurationMs: number,
): Promise<number[]> => {
  const seconds: number[] = [];
  for (let round = 0; round < count; round += 1) {
    seconds.push(await measureRound(fleet, nodes, outageDurationMs));
  }
  return seconds;
};

const measureRound = async (
  fleet: RouterFleet,
  nodes: readonly string[],
  outageDurationMs: number,
): Promise<number> => {
  const publisher = new ConfigPublisher(
    new HttpLog(fleet.logUrl),
    new SystemClock(),
    'bench',
  );
  const base = buildFleetConfiguration(fleet.options.layers);
  const startedAt = Date.now();
  const ranks = base.ranks.map(rank => ({ ...rank, targetMs: startedAt }));
  const published = await publisher.publish({ ...base, ranks });
  const { version } = published.unwrap().state.configuration;
  if (outageDurationMs > 0) {
    await fleet.setLogFaults({ outage: true });
    await new Promise(resolve => setTimeout(resolve, outageDurationMs));
    await fleet.setLogFaults({ outage: false });
  }
  const times = new Map<string, number>();
  await waitUntil(
    `version ${String(version)} is in force on every node`,
    async () => {
      for (const name of nodes.filter(each => !times.has(each))) {
        const at = await findInForceTime(fleet, name, version);
        if (at !== undefined) {
          times.set(name, at);
        }
      }
      return times.size === nodes.length;
    },
    inForceTimeoutMs,
  );
  return (Math.max(...times.values()) - startedAt) / millisecondsPerSecond;
};

/** Returns the time at which a version came into force on a node, if it has. */
const findInForceTime = async (
  fleet: RouterFleet,
  name: string,
  version: number,
): Promise<number | undefined> => {
  const { addresses } = fleet.processes.getProcess(name);
  const url = `http://${addresses.operators ?? ''}/v1/admin/events`;
  const { events } = (await fleet.get(url)) as { events: InForceEvent[] };
  const found = events.findLast(
    ({ kind, detail }) =>
      kind === 'config-in-force' && detail?.version === version,
  );
  return found && found.stamp / timestampsPerMillisecond;
};

const pickQuantile = (values: readonly number[], quantile: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(sorted.length * quantile) - 1;
  return sorted[Math.max(0, index)] ?? 0;
};
