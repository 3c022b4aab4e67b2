/** The max-flow bound of a fleet's throughput, in generated tokens per second. */
import { computeMaxFlow, type StageGroup } from '@lycheetally/decisions';
import {
  benchLayerCount,
  computeLinkCapacity,
  computeServerCapacity,
  type ServerSpec,
} from './fakeFleet.js';

const createStageGroup = (server: ServerSpec): StageGroup => ({
  key: `${server.kind.name} ${String(server.layerFrom)}-${String(server.layerTo)} ${server.failureDomain}`,
  layerFrom: server.layerFrom,
  layerTo: server.layerTo,
  failureDomain: server.failureDomain,
  capacity: computeServerCapacity(server),
});

/** Computes the generated tokens per second that no routing policy can exceed. */
export const computeMaxFlowBound = (fleet: readonly ServerSpec[]): number => {
  const groups = new Map<string, StageGroup>();
  for (const server of fleet) {
    const group = createStageGroup(server);
    const existing = groups.get(group.key);
    const capacity = group.capacity + (existing?.capacity ?? 0);
    groups.set(group.key, { ...group, capacity });
  }
  const flow = computeMaxFlow(
    [...groups.values()],
    benchLayerCount,
    (from, to) => computeLinkCapacity(from, to),
  );
  return flow.total;
};
