/**
 * Creates the slot queue of an agent, ordered by rank and client account.
 *
 * An agent does not read the configuration: rank floors and account weights
 * come with each offer, and the values of the latest offer apply.
 */
import { RankedOrder, type OrderedRank } from '@lycheetally/decisions';
import { PQueueSlots } from '../adapters/pQueueSlots.js';
import type { Clock } from '@lycheetally/node';
import type { QueuedWork, SlotQueue } from '../ports/slotQueue.js';

/** Orders work by ranks and weights that it takes from the work itself. */
class OfferDefinedOrder extends RankedOrder<QueuedWork> {
  constructor(
    slots: number,
    private readonly offeredRanks = new Map<number, OrderedRank>(),
    private readonly offeredWeights = new Map<string, number>(),
  ) {
    super({
      slots,
      listRanks: () => [...offeredRanks.values()],
      getWeight: account => offeredWeights.get(account) ?? 1,
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

/** Creates the slot queue of a backend server. */
export const createSlots = (slots: number, clock: Clock): SlotQueue =>
  new PQueueSlots(slots, new OfferDefinedOrder(slots), clock);
