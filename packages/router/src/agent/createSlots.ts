/**
 * Creates the slots of an agent, in the order of ranks and accounts.
 *
 * An agent reads no configuration: floors and weights come with each offer,
 * and the latest offer of a rank or account is the one in force.
 */
import { RankedOrder, type OrderedRank } from '@lycheetally/decisions';
import { PQueueSlots } from '../adapters/pQueueSlots.js';
import type { Clock } from '@lycheetally/node';
import type { QueuedWork, SlotQueue } from '../ports/slotQueue.js';

/** An order that learns its ranks and weights from the work that it is given. */
class OfferedOrder extends RankedOrder<QueuedWork> {
  constructor(
    slots: number,
    private readonly offeredRanks = new Map<number, OrderedRank>(),
    private readonly offeredWeights = new Map<string, number>(),
  ) {
    super({
      slots,
      listRanks: () => [...offeredRanks.values()],
      weightOf: account => offeredWeights.get(account) ?? 1,
    });
  }

  override add(work: QueuedWork): void {
    const { urgency, rankFloor, account, accountWeight } = work;
    this.offeredRanks.set(urgency, { urgency, floor: rankFloor });
    if (accountWeight > 0) {
      this.offeredWeights.set(account, accountWeight);
    }
    super.add(work);
  }
}

/** Creates the slots of a backend server. */
export const createSlots = (slots: number, clock: Clock): SlotQueue =>
  new PQueueSlots(slots, new OfferedOrder(slots), clock);
