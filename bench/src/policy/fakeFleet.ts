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
export interface ServerSpec {
  readonly serverId: string;
  readonly kind: AcceleratorKind;
  readonly layerFrom: number;
  readonly layerTo: number;
  readonly failureDomain: string;
}

/** Delay and bandwidth of the link between two failure domains. */
export interface LinkSpec {
  readonly delayMs: Milliseconds;
  /** Milliseconds that the activations of one token occupy the link. */
  readonly tokenMs: Milliseconds;
}

export const benchLayerCount = 24;
export const benchService: ServiceRule = {
  name: 'model',
  kind: ServiceKind.Model,
  layers: benchLayerCount,
  idempotent: true,
  accounts: [],
};

const acceleratorKinds = {
  a: {
    name: 'a',
    stepBaseMs: 2,
    decodePassMs: 0.02,
    promptTokenMs: 0.008,
    maxBatch: 16,
  },
  b: {
    name: 'b',
    stepBaseMs: 2.6,
    decodePassMs: 0.03,
    promptTokenMs: 0.01,
    maxBatch: 16,
  },
  c: {
    name: 'c',
    stepBaseMs: 3.6,
    decodePassMs: 0.03,
    promptTokenMs: 0.015,
    maxBatch: 12,
  },
  d: {
    name: 'd',
    stepBaseMs: 5,
    decodePassMs: 0.04,
    promptTokenMs: 0.02,
    maxBatch: 12,
  },
  e: {
    name: 'e',
    stepBaseMs: 8,
    decodePassMs: 0.05,
    promptTokenMs: 0.03,
    maxBatch: 8,
  },
} as const satisfies Record<string, AcceleratorKind>;

interface ServerGroup {
  readonly kind: AcceleratorKind;
  readonly layerFrom: number;
  readonly layerTo: number;
  readonly count: number;
}

const mixedServerGroups: readonly ServerGroup[] = [
  { kind: acceleratorKinds.a, layerFrom: 0, layerTo: 12, count: 4 },
  { kind: acceleratorKinds.a, layerFrom: 12, layerTo: 24, count: 4 },
  { kind: acceleratorKinds.b, layerFrom: 0, layerTo: 12, count: 4 },
  { kind: acceleratorKinds.b, layerFrom: 12, layerTo: 24, count: 3 },
  { kind: acceleratorKinds.c, layerFrom: 0, layerTo: 8, count: 4 },
  { kind: acceleratorKinds.c, layerFrom: 8, layerTo: 16, count: 4 },
  { kind: acceleratorKinds.c, layerFrom: 16, layerTo: 24, count: 3 },
  { kind: acceleratorKinds.d, layerFrom: 0, layerTo: 8, count: 3 },
  { kind: acceleratorKinds.d, layerFrom: 8, layerTo: 16, count: 3 },
  { kind: acceleratorKinds.d, layerFrom: 16, layerTo: 24, count: 4 },
  { kind: acceleratorKinds.e, layerFrom: 8, layerTo: 12, count: 2 },
  { kind: acceleratorKinds.e, layerFrom: 12, layerTo: 16, count: 2 },
];

export const benchFailureDomains = [
  'domain-a',
  'domain-b',
  'domain-c',
] as const;

/** Builds `copies` times the mixed fleet of 40 backend servers. */
export const buildMixedFleet = (copies = 1): readonly ServerSpec[] =>
  mixedServerGroups.flatMap(group =>
    Array.from({ length: group.count * copies }, (_, index) => ({
      serverId: `${group.kind.name}${String(group.layerFrom)}-${String(index)}`,
      kind: group.kind,
      layerFrom: group.layerFrom,
      layerTo: group.layerTo,
      failureDomain:
        benchFailureDomains[index % benchFailureDomains.length] ?? '',
    })),
  );

const sameDomainLink: LinkSpec = { delayMs: 0.2, tokenMs: 0.01 };
/**
 * Links between failure domains. Delay and time per token of the slowest are a
 * hundred times those within a domain.
 */
export const benchLinks: readonly LinkRule[] = [
  { from: 'domain-a', to: 'domain-b', delayMs: 1, tokenMs: 0.05 },
  { from: 'domain-a', to: 'domain-c', delayMs: 4, tokenMs: 0.3 },
  { from: 'domain-b', to: 'domain-c', delayMs: 20, tokenMs: 1 },
];
const linksByDomains = new Map<string, LinkSpec>(
  benchLinks.flatMap(link => [
    [`${link.from} ${link.to}`, link],
    [`${link.to} ${link.from}`, link],
  ]),
);

/** Returns the link between two failure domains. */
export const getLink = (from: string, to: string): LinkSpec =>
  linksByDomains.get(`${from} ${to}`) ?? sameDomainLink;

/**
 * Returns the generated tokens per second that a server can sustain with full
 * batches, processing the prompts of these requests as well.
 */
export const computeServerCapacity = (server: ServerSpec): number => {
  const { kind } = server;
  const layers = server.layerTo - server.layerFrom;
  const stepBaseShareMs = kind.stepBaseMs / kind.maxBatch;
  const decodePasses = meanOutputTokens - 1;
  const requestMs =
    layers *
    (meanOutputTokens * stepBaseShareMs +
      decodePasses * kind.decodePassMs +
      meanPromptTokens * kind.promptTokenMs);
  return (meanOutputTokens / requestMs) * millisecondsPerSecond;
};

/** Returns the generated tokens per second that the link between two domains can sustain. */
export const computeLinkCapacity = (from: string, to: string): number => {
  const activations = meanOutputTokens - 1 + meanPromptTokens;
  const requestMs = activations * getLink(from, to).tokenMs;
  return (meanOutputTokens / requestMs) * millisecondsPerSecond;
};

const millisecondsPerSecond = 1_000;
