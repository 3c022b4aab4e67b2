/** Servers of a layered model, and what becomes of them under a placement policy. */
import type {
  LayeredModel,
  PlacementPolicy,
  StageServer,
} from '../src/index.js';

/** Creates servers without layers in a failure domain, by the number of each kind. */
export const createServers = (
  domain: string,
  counts: Readonly<Record<string, number>>,
): StageServer[] =>
  Object.entries(counts).flatMap(([kind, count]) =>
    Array.from({ length: count }, (_, index) => ({
      serverId: `${domain}-${kind}-${String(index)}`,
      address: `${domain}-${kind}-${String(index)}:1`,
      failureDomain: domain,
      kind,
      range: undefined,
      slots: 134,
    })),
  );

/** Applies plans, each carried out at once, until one is empty; fails when none is within 40 rounds. */
export const placeUntilStable = (
  policy: PlacementPolicy,
  model: LayeredModel,
  servers: readonly StageServer[],
): StageServer[] => {
  let current = [...servers];
  for (let rounds = 0; rounds < 40; rounds += 1) {
    const plan = policy.planPlacement(model, current);
    if (plan.size === 0) {
      return current;
    }
    current = current.map(server => ({
      ...server,
      range: plan.get(server.serverId) ?? server.range,
    }));
  }
  throw new Error('the placement does not converge');
};
