/**
 * Plans all orders that follow from a loss at once.
 *
 * A single plan of `ReplicaPerDomain` changes one server per gap and releases layers of
 * one server per group, so a repair took several plans, each of which saw other loads
 * than the one before. Here the plans that would follow are computed in advance, with
 * each server that got an order as what it will hold; a server changes once at most.
 */
import { maxPlanRounds } from './constants.js';
import {
  PlacementPolicy,
  ReplicaPerDomain,
  type PlacementPlan,
} from './placementPlan.js';
import { RepairMode } from './repairMode.js';
import { ReleaseForCapacity } from './releaseLayers.js';
import { SecondHolders } from './spareCopies.js';
import type { LayerRange, LayeredModel, StageServer } from './types.js';

export class CommittedRepair extends PlacementPolicy {
  private readonly policy = new ReplicaPerDomain(
    new ReleaseForCapacity(),
    new SecondHolders(),
  );

  override planPlacement(
    model: LayeredModel,
    servers: readonly StageServer[],
  ): PlacementPlan {
    const orders = new Map<string, LayerRange>();
    let planned = servers;
    for (let round = 0; round < maxPlanRounds; round += 1) {
      const plan = this.policy.planPlacement(model, planned);
      if (plan.size === 0) {
        break;
      }
      for (const [serverId, range] of plan) {
        orders.set(serverId, range);
      }
      planned = planned.map(server => toLoading(server, plan));
    }
    return orders;
  }
}

/** The server as it is once it has its order. */
const toLoading = (server: StageServer, plan: PlacementPlan): StageServer => {
  const range = plan.get(server.serverId);
  return range ? { ...server, range, isBusy: true, isLoading: true } : server;
};

export const createPlacement = (mode: RepairMode): PlacementPolicy =>
  mode === RepairMode.Committed
    ? new CommittedRepair()
    : new ReplicaPerDomain();
