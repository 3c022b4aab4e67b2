/** Measures the time of choosing a chain among 36, 400 and 2,800 servers, for sampled chains and for the cheapest one. */
import {
  CheapestChain,
  SampledChain,
  type ChainPolicy,
  type LayeredModel,
  type StageServer,
} from '@lycheetally/decisions';
import { Bench, type BenchOptions } from '../types.js';
import { computeQuantile } from './runMetrics.js';

const fleetSizes = [36, 400, 2_800];
const sampledChoices = 400;
const cheapestChoices = 8;
const warmUpChoices = 4;
const rounds = 3;
const microsecondsPerMillisecond = 1_000;
const domainCount = 3;

const model: LayeredModel = {
  layers: 80,
  layerMegabytes: 1_750,
  cacheBytesPerToken: 845_373,
  stepMs: 1.02,
  stepMsPerRequest: 0.0066,
  stepMsPerContextK: 0.0088,
  kinds: [
    { name: 'large', memoryMegabytes: 72_000, stepFactor: 2.4 },
    { name: 'small', memoryMegabytes: 22_000, stepFactor: 16 },
  ],
};

const layersOfLarge = 20;
const layersOfSmall = 8;

/** Complete replicas of three large and three small servers, in the domains in turn; a remainder holds first layers. */
const buildServers = (count: number): readonly StageServer[] => {
  const replica = [
    ...[0, 20, 40].map(from => ({ kind: 'large', from })),
    ...[60, 68, 72].map(from => ({ kind: 'small', from })),
  ];
  return Array.from({ length: count }, (_, index) => {
    const { kind, from } = replica[index % replica.length] ?? {
      kind: 'small',
      from: 0,
    };
    const layers = kind === 'large' ? layersOfLarge : layersOfSmall;
    const domain = Math.floor(index / replica.length) % domainCount;
    return {
      serverId: `server-${String(index)}`,
      address: `server-${String(index)}:1`,
      failureDomain: `domain-${String(domain)}`,
      kind,
      range: { from, to: from + layers },
      slots: 134,
    };
  });
};

const idle = { layerTokens: 0, firstStageRequests: 0, stepTimeRatio: 1 };

const measureChoice = (
  policy: ChainPolicy,
  servers: readonly StageServer[],
  count: number,
): number => {
  const choose = (): void => {
    policy.chooseChain({
      model,
      servers,
      homeDomain: 'domain-0',
      tokens: 1_055,
      excluded: new Set(),
      getLoad: () => idle,
    });
  };
  const figures = Array.from({ length: rounds }, () => {
    for (let index = 0; index < warmUpChoices; index += 1) {
      choose();
    }
    const startedAt = performance.now();
    for (let index = 0; index < count; index += 1) {
      choose();
    }
    const passedMs = performance.now() - startedAt;
    return (passedMs / count) * microsecondsPerMillisecond;
  });
  return computeQuantile(figures, 0.5);
};

export class ChainChoiceBench extends Bench {
  override readonly name = 'chains';
  override readonly summary =
    'microseconds per choice of a chain among 2,800 backend servers, and among 36 and 400';
  override readonly unit = 'µs/choice';

  protected override measure({ seed, report }: BenchOptions): Promise<{
    baseline: number;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const sizes = fleetSizes.map(count => {
      report(`Choosing among ${String(count)} backend servers`);
      const servers = buildServers(count);
      return {
        servers: count,
        sampled: measureChoice(new SampledChain(seed), servers, sampledChoices),
        cheapest: measureChoice(new CheapestChain(), servers, cheapestChoices),
      };
    });
    const largest = sizes.at(-1);
    return Promise.resolve({
      baseline: largest?.cheapest ?? 0,
      ours: largest?.sampled ?? 0,
      detail: { sizes },
    });
  }
}
