/** Grants the slots of a backend server through `p-queue`, in the order of a `WorkOrder`. */
import PQueue, { type Queue, type QueueAddOptions } from 'p-queue';
import type { Milliseconds } from '@lycheetally/common';
import type { WorkOrder } from '@lycheetally/decisions';
import { SlotQueue, type QueuedWork } from '../ports/slotQueue.js';
import type { Clock } from '@lycheetally/node';

type RunFunction = () => Promise<unknown>;

interface SlotOptions extends QueueAddOptions {
  readonly work: QueuedWork;
}

/** Creates a queue class with which `p-queue` takes tasks in the order of a `WorkOrder`. */
const createQueueClass = (
  order: WorkOrder<QueuedWork>,
  clock: Clock,
): new () => Queue<RunFunction, SlotOptions> =>
  class OrderedQueue implements Queue<RunFunction, SlotOptions> {
    private readonly tasks = new Map<QueuedWork, RunFunction>();

    get size(): number {
      return order.hasNext(clock.getNow()) ? order.size : 0;
    }

    enqueue(run: RunFunction, options?: Partial<SlotOptions>): void {
      if (!options?.work) {
        return;
      }
      this.tasks.set(options.work, run);
      order.add(options.work);
    }

    dequeue(): RunFunction | undefined {
      const work = order.takeNext(clock.getNow());
      if (!work) {
        return undefined;
      }
      const run = this.tasks.get(work);
      this.tasks.delete(work);
      return run;
    }

    filter(): RunFunction[] {
      return [...this.tasks.values()];
    }

    setPriority(): void {
      // The `WorkOrder` alone decides; the priorities of `p-queue` are not used.
    }
  };

interface HeldSlot {
  readonly releaseSlot: () => void;
  readonly grantedAt: Milliseconds;
}

export class PQueueSlots extends SlotQueue {
  private readonly queue: PQueue<Queue<RunFunction, SlotOptions>, SlotOptions>;
  private readonly heldSlots = new Map<QueuedWork, HeldSlot>();

  constructor(
    slots: number,
    private readonly order: WorkOrder<QueuedWork>,
    private readonly clock: Clock,
  ) {
    super();
    this.queue = new PQueue({
      concurrency: slots,
      queueClass: createQueueClass(order, clock),
    });
  }

  override enqueue(work: QueuedWork): void {
    const occupySlot = (): Promise<void> =>
      new Promise<void>(resolve => {
        const grantedAt = this.clock.getNow();
        this.heldSlots.set(work, { releaseSlot: resolve, grantedAt });
        work.grantSlot(this.order.computePriority(work));
      });
    void this.queue.add(occupySlot, { work });
  }

  override release(work: QueuedWork, cost: number): void {
    const slot = this.heldSlots.get(work);
    if (!slot) {
      this.order.remove(work);
      return;
    }
    this.heldSlots.delete(work);
    this.order.finish(work, cost, this.clock.getNow() - slot.grantedAt);
    slot.releaseSlot();
  }

  override get running(): number {
    return this.heldSlots.size;
  }

  override get waiting(): number {
    return this.order.size;
  }
}
