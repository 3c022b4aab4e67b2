/**
 * Replaces lost servers in a chain that is running a request.
 *
 * Load pattern: a server is lost while many streams run through it. The other
 * servers of each chain keep their KV cache, so that only the replaced stages
 * read the tokens again, and the stream goes on without a new attempt. A server of
 * another failure domain is no replacement: the activations of all tokens would
 * have to cross the link between the domains, which takes seconds for many streams.
 */
import type { ChainPolicy, ChainRequest, ChainStage } from './chainChoice.js';
import type { LayerRange } from './types.js';

/** A chain and the servers to replace in it. */
export interface RepairRequest extends Omit<ChainRequest, 'layers'> {
  readonly chain: readonly ChainStage[];
  /** Servers that were lost; the first server of the chain cannot be replaced. */
  readonly lost: ReadonlySet<string>;
}

/** Returns the chain with other servers in place of the lost ones, or `undefined`. */
export const replaceStages = (
  policy: ChainPolicy,
  request: RepairRequest,
): readonly ChainStage[] | undefined => {
  const { chain, lost } = request;
  const used = new Set(chain.map(({ server }) => server.serverId));
  const repaired: ChainStage[] = [];
  for (const part of listParts(chain, lost)) {
    const previous = repaired.at(-1);
    if (!part.isLost) {
      repaired.push(...part.stages);
      continue;
    }
    const replacement =
      previous && findReplacement(policy, request, part.range, previous, used);
    if (!replacement) {
      return undefined;
    }
    replacement.forEach(({ server }) => used.add(server.serverId));
    repaired.push(...replacement);
  }
  return repaired;
};

/** Consecutive stages that are all lost or all kept. */
interface ChainPart {
  readonly isLost: boolean;
  readonly range: LayerRange;
  readonly stages: readonly ChainStage[];
}

const listParts = (
  chain: readonly ChainStage[],
  lost: ReadonlySet<string>,
): ChainPart[] => {
  const parts: ChainPart[] = [];
  for (const stage of chain) {
    const isLost = lost.has(stage.server.serverId);
    const last = parts.at(-1);
    if (last?.isLost === isLost) {
      const range = { from: last.range.from, to: stage.range.to };
      parts[parts.length - 1] = {
        isLost,
        range,
        stages: [...last.stages, stage],
      };
    } else {
      parts.push({ isLost, range: stage.range, stages: [stage] });
    }
  }
  return parts;
};

const findReplacement = (
  policy: ChainPolicy,
  request: RepairRequest,
  layers: LayerRange,
  previous: ChainStage,
  used: ReadonlySet<string>,
): readonly ChainStage[] | undefined =>
  policy.chooseChain({
    ...request,
    servers: request.servers.filter(
      ({ failureDomain }) => failureDomain === previous.server.failureDomain,
    ),
    homeDomain: previous.server.failureDomain,
    layers,
    excluded: new Set([...request.excluded, ...request.lost, ...used]),
  })?.stages;
