/** Gateways that choose chains in turn over the fleet of the second deployment, each with what it knows. */
import {
  ReplicaPerDomain,
  estimateServerLoad,
  computeCacheCapacity,
  findAcceleratorKind,
  type ChainPolicy,
  type ChainRequest,
  type ChosenChain,
  type InFlight,
  type LayeredModel,
  type OthersInFlight,
  type StageServer,
} from '../src/index.js';
import { createServers, placeUntilStable } from './stageServers.js';

export const model: LayeredModel = {
  layers: 80,
  layerMegabytes: 1_750,
  cacheBytesPerToken: 845_373,
  stepMs: 1.02,
  stepMsPerRequest: 0.0066,
  stepMsPerContextK: 0.0088,
  kinds: [
    { name: 'a100', memoryMegabytes: 72_000, stepFactor: 2.4, readFactor: 3.2 },
    { name: 'l40s', memoryMegabytes: 43_000, stepFactor: 5.6, readFactor: 2.7 },
    { name: 'l4', memoryMegabytes: 22_000, stepFactor: 16, readFactor: 8.2 },
  ],
  tokensPerEvent: 5,
  readTokensPerSecond: 245_000,
  link: { activationBytes: 23_300, megabitsPerSecond: 6_600 },
  usual: { prompt: 800, answer: 255 },
};

const counts: Readonly<Record<string, readonly number[]>> = {
  a100: [3, 1, 1],
  l40s: [4, 5, 9],
  l4: [9, 13, 7],
};

export const domains = ['a', 'b', 'c'];

/** Servers of the second deployment as `ReplicaPerDomain` places them, or a multiple of them. */
export const placeFleet = (copies = 1): readonly StageServer[] =>
  placeUntilStable(
    new ReplicaPerDomain(),
    model,
    domains.flatMap((domain, at) =>
      createServers(
        domain,
        Object.fromEntries(
          Object.entries(counts).map(([kind, perDomain]) => [
            kind,
            (perDomain[at] ?? 0) * copies,
          ]),
        ),
      ),
    ),
  );

/** Tokens of a call's prompt and answer. */
const callTokens = 1_055;

export const gatewayCount = 48;

/** Which gateways know what the others have in flight. */
export type ReportView = 'none' | 'half' | 'all';

export interface SpreadOptions {
  readonly servers: readonly StageServer[];
  readonly callsPerGateway: number;
  readonly createPolicy: (gateway: number) => ChainPolicy;
  /** Domain in which a call of the gateway arrives; the own one by default. */
  readonly chooseDomain?: (gateway: number, round: number) => string;
  readonly reports?: ReportView;
  readonly request?: Partial<ChainRequest>;
  readonly getRatio?: (serverId: string) => number;
}

class EmulatedGateway {
  private readonly own = new Map<string, InFlight>();

  constructor(readonly policy: ChainPolicy) {}

  get(serverId: string): InFlight {
    return this.own.get(serverId) ?? { calls: 0, layerTokens: 0 };
  }

  note({ stages }: ChosenChain): void {
    for (const { server, range } of stages) {
      const { calls, layerTokens } = this.get(server.serverId);
      this.own.set(server.serverId, {
        calls: calls + Number(range.from === 0),
        layerTokens: layerTokens + callTokens * (range.to - range.from),
      });
    }
  }
}

/** In each round each gateway sends one call, with what was reported after the round before; returns all chains. */
export const runGateways = (options: SpreadOptions): readonly ChosenChain[] => {
  const { servers, createPolicy, reports = 'none', getRatio } = options;
  const gateways = Array.from(
    { length: gatewayCount },
    (_, at) => new EmulatedGateway(createPolicy(at)),
  );
  const chains: ChosenChain[] = [];
  for (let round = 0; round < options.callsPerGateway; round += 1) {
    const totals = computeTotals(servers, gateways);
    gateways.forEach((gateway, at) => {
      const isTold = reports === 'all' || (reports === 'half' && at % 2 === 0);
      const getOthers = (serverId: string): OthersInFlight | undefined =>
        isTold
          ? computeOthers(totals.get(serverId), gateway.get(serverId))
          : undefined;
      const chain = gateway.policy.chooseChain({
        model,
        servers,
        homeDomain: options.chooseDomain?.(at, round) ?? domains[at % 3] ?? '',
        tokens: callTokens,
        excluded: new Set(),
        paceMs: 25,
        getLoad: serverId =>
          estimateServerLoad(
            {
              own: gateway.get(serverId),
              others: getOthers(serverId),
              told: undefined,
              stepTimeRatio: getRatio?.(serverId) ?? 1,
            },
            { all: gatewayCount, perDomain: gatewayCount / domains.length },
            0,
          ),
        ...options.request,
      });
      if (!chain) {
        throw new Error('no chain');
      }
      chains.push(chain);
      gateway.note(chain);
    });
  }
  return chains;
};

const computeTotals = (
  servers: readonly StageServer[],
  gateways: readonly EmulatedGateway[],
): ReadonlyMap<string, InFlight> =>
  new Map(
    servers.map(({ serverId }) => {
      const loads = gateways.map(gateway => gateway.get(serverId));
      return [
        serverId,
        {
          calls: loads.reduce((sum, { calls }) => sum + calls, 0),
          layerTokens: loads.reduce((sum, load) => sum + load.layerTokens, 0),
        },
      ];
    }),
  );

const computeOthers = (
  total: InFlight | undefined,
  own: InFlight,
): OthersInFlight => ({
  calls: (total?.calls ?? 0) - own.calls,
  layerTokens: (total?.layerTokens ?? 0) - own.layerTokens,
  gateways: gatewayCount - 1,
  asOf: 0,
});

/** Counts the chains by server. */
export const countByServer = (
  chains: readonly ChosenChain[],
): ReadonlyMap<string, number> => {
  const byServer = new Map<string, number>();
  for (const { stages } of chains) {
    for (const { server } of stages) {
      byServer.set(server.serverId, (byServer.get(server.serverId) ?? 0) + 1);
    }
  }
  return byServer;
};

/** Returns, for the kind where it is highest, how many times the mean of its kind the busiest server has. */
export const computeWorstShare = (
  servers: readonly StageServer[],
  chains: readonly ChosenChain[],
): number => {
  const byServer = countByServer(chains);
  const shares = Object.keys(counts).map(kind => {
    const loads = servers
      .filter(server => server.kind === kind)
      .map(({ serverId }) => byServer.get(serverId) ?? 0);
    const sum = loads.reduce((total, load) => total + load, 0);
    return (Math.max(...loads) * loads.length) / Math.max(1, sum);
  });
  return Math.max(...shares);
};

/** Returns the share of the chains that the loss of the worst pair of servers touches. */
export const computeWorstPair = (chains: readonly ChosenChain[]): number => {
  const users = new Map<string, Set<number>>();
  chains.forEach(({ stages }, at) => {
    for (const { server } of stages) {
      const known = users.get(server.serverId) ?? new Set();
      users.set(server.serverId, known.add(at));
    }
  });
  const sets = [...users.values()];
  const touched = sets.flatMap((first, at) =>
    sets
      .slice(at + 1)
      .map(
        second => first.size + [...second].filter(x => !first.has(x)).length,
      ),
  );
  return Math.max(...touched) / chains.length;
};

/** Returns the highest share of a KV cache that the chains take at any server. */
export const computeWorstUse = (chains: readonly ChosenChain[]): number => {
  const used = new Map<StageServer, number>();
  for (const { stages } of chains) {
    for (const { server, range } of stages) {
      const tokens = callTokens * (range.to - range.from);
      used.set(server, (used.get(server) ?? 0) + tokens);
    }
  }
  return Math.max(
    ...[...used].map(([{ kind, range }, tokens]) => {
      const found = findAcceleratorKind(model, kind);
      return found && range
        ? tokens / computeCacheCapacity(model, found, range)
        : 0;
    }),
  );
};

export const countCrossings = (chains: readonly ChosenChain[]): number =>
  chains.filter(
    ({ stages }) =>
      new Set(stages.map(({ server }) => server.failureDomain)).size > 1,
  ).length;
