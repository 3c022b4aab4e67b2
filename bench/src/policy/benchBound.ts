/** The max-flow bound of a fleet's throughput, in generated tokens per second. */
import { computeSteadyFlow, type StageGroup } from '@lycheetally/decisions';
import {
  benchLayers,
  computeLinkCapacity,
  computeWorkerCapacity,
  type WorkerPlan,
} from './fakeFleet.js';

const toGroup = (worker: WorkerPlan): StageGroup => ({
  key: `${worker.kind.name} ${String(worker.layerFrom)}-${String(worker.layerTo)} ${worker.failureDomain}`,
  layerFrom: worker.layerFrom,
  layerTo: worker.layerTo,
  failureDomain: worker.failureDomain,
  capacity: computeWorkerCapacity(worker),
});

/** Computes the generated tokens per second that no routing policy can exceed. */
export const computeFleetBound = (fleet: readonly WorkerPlan[]): number => {
  const groups = new Map<string, StageGroup>();
  for (const worker of fleet) {
    const group = toGroup(worker);
    const known = groups.get(group.key);
    const capacity = group.capacity + (known?.capacity ?? 0);
    groups.set(group.key, { ...group, capacity });
  }
  const flow = computeSteadyFlow(
    [...groups.values()],
    benchLayers,
    (from, to) => computeLinkCapacity(from, to),
  );
  return flow.total;
};
