/** The mixed fleet of the policy benches: accelerator kinds, layer ranges and network links. */
import type { Milliseconds } from '@lycheetally/common';
import {
  ServiceKind,
  type LinkRule,
  type ServiceRule,
} from '@lycheetally/decisions';
import type { AcceleratorKind } from './fakeEngine.js';
import { meanOutputTokens, meanPromptTokens } from './workload.js';

/** A simulated backend server. */
export interface WorkerPlan {
  readonly serverId: string;
  readonly kind: AcceleratorKind;
  readonly layerFrom: number;
  readonly layerTo: number;
  readonly failureDomain: string;
}

/** Delay and bandwidth of the link between two failure domains. */
export interface LinkPlan {
  readonly delayMs: Milliseconds;
  /** Milliseconds that the activations of one token occupy the link. */
  readonly tokenMs: Milliseconds;
}

export const benchLayers = 24;
export const benchService: ServiceRule = {
  name: 'model',
  kind: ServiceKind.Model,
  layers: benchLayers,
  idempotent: true,
  accounts: [],
};

const kinds = {
  a: { name: 'a', baseMs: 2, passMs: 0.02, promptMs: 0.008, maxBatch: 16 },
  b: { name: 'b', baseMs: 2.6, passMs: 0.03, promptMs: 0.01, maxBatch: 16 },
  c: { name: 'c', baseMs: 3.6, passMs: 0.03, promptMs: 0.015, maxBatch: 12 },
  d: { name: 'd', baseMs: 5, passMs: 0.04, promptMs: 0.02, maxBatch: 12 },
  e: { name: 'e', baseMs: 8, passMs: 0.05, promptMs: 0.03, maxBatch: 8 },
} as const satisfies Record<string, AcceleratorKind>;

interface WorkerGroup {
  readonly kind: AcceleratorKind;
  readonly layerFrom: number;
  readonly layerTo: number;
  readonly count: number;
}

const mixedGroups: readonly WorkerGroup[] = [
  { kind: kinds.a, layerFrom: 0, layerTo: 12, count: 4 },
  { kind: kinds.a, layerFrom: 12, layerTo: 24, count: 4 },
  { kind: kinds.b, layerFrom: 0, layerTo: 12, count: 4 },
  { kind: kinds.b, layerFrom: 12, layerTo: 24, count: 3 },
  { kind: kinds.c, layerFrom: 0, layerTo: 8, count: 4 },
  { kind: kinds.c, layerFrom: 8, layerTo: 16, count: 4 },
  { kind: kinds.c, layerFrom: 16, layerTo: 24, count: 3 },
  { kind: kinds.d, layerFrom: 0, layerTo: 8, count: 3 },
  { kind: kinds.d, layerFrom: 8, layerTo: 16, count: 3 },
  { kind: kinds.d, layerFrom: 16, layerTo: 24, count: 4 },
  { kind: kinds.e, layerFrom: 8, layerTo: 12, count: 2 },
  { kind: kinds.e, layerFrom: 12, layerTo: 16, count: 2 },
];

export const benchDomains = ['domain-a', 'domain-b', 'domain-c'] as const;

/** Builds `copies` times the mixed fleet of 40 backend servers. */
export const buildMixedFleet = (copies = 1): readonly WorkerPlan[] =>
  mixedGroups.flatMap(group =>
    Array.from({ length: group.count * copies }, (_, index) => ({
      serverId: `${group.kind.name}${String(group.layerFrom)}-${String(index)}`,
      kind: group.kind,
      layerFrom: group.layerFrom,
      layerTo: group.layerTo,
      failureDomain: benchDomains[index % benchDomains.length] ?? '',
    })),
  );

const localLink: LinkPlan = { delayMs: 0.2, tokenMs: 0.01 };
/**
 * Links between failure domains. Delay and time per token of the slowest are a
 * hundred times those within a domain.
 */
export const benchLinks: readonly LinkRule[] = [
  { from: 'domain-a', to: 'domain-b', delayMs: 1, tokenMs: 0.05 },
  { from: 'domain-a', to: 'domain-c', delayMs: 4, tokenMs: 0.3 },
  { from: 'domain-b', to: 'domain-c', delayMs: 20, tokenMs: 1 },
];
const links = new Map<string, LinkPlan>(
  benchLinks.flatMap(link => [
    [`${link.from} ${link.to}`, link],
    [`${link.to} ${link.from}`, link],
  ]),
);

/** Returns the link between two failure domains. */
export const getLink = (from: string, to: string): LinkPlan =>
  links.get(`${from} ${to}`) ?? localLink;

/**
 * Returns the generated tokens per second that a server can sustain with full
 * batches, processing the prompts of these requests as well.
 */
export const computeWorkerCapacity = (worker: WorkerPlan): number => {
  const { kind } = worker;
  const layers = worker.layerTo - worker.layerFrom;
  const stepShareMs = kind.baseMs / kind.maxBatch;
  const decodes = meanOutputTokens - 1;
  const requestMs =
    layers *
    (meanOutputTokens * stepShareMs +
      decodes * kind.passMs +
      meanPromptTokens * kind.promptMs);
  return (meanOutputTokens / requestMs) * millisecondsPerSecond;
};

/** Returns the generated tokens per second that the link between two domains can sustain. */
export const computeLinkCapacity = (from: string, to: string): number => {
  const activations = meanOutputTokens - 1 + meanPromptTokens;
  const requestMs = activations * getLink(from, to).tokenMs;
  return (meanOutputTokens / requestMs) * millisecondsPerSecond;
};

const millisecondsPerSecond = 1_000;
