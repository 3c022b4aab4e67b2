/**
 * The events that wait for an event loop.
 *
 * Those that end work go before all others, so that nothing more is done for it. What is
 * added during a turn waits for the next one, before which I/O is polled.
 */
import type { Milliseconds } from '@lycheetally/common';

export interface QueuedEvent {
  readonly kind: string;
  readonly queuedAt: Milliseconds;
  readonly run: (now: Milliseconds) => void;
}

export class EventQueue {
  private readonly ends = new EventLane();
  private readonly others = new EventLane();
  private hasTakenOther = false;

  get length(): number {
    return this.ends.length + this.others.length;
  }

  add(event: QueuedEvent): void {
    this.others.add(event);
  }

  /** Adds an event that ends work. */
  addEnd(event: QueuedEvent): void {
    this.ends.add(event);
  }

  beginTurn(): void {
    this.hasTakenOther = false;
    this.ends.beginTurn();
    this.others.beginTurn();
  }

  /** Removes the next event of this turn. */
  take(): QueuedEvent | undefined {
    return this.ends.take() ?? this.takeOther();
  }

  /** Removes the first event of this turn that ends no work, if none was removed yet: ends alone must not take every turn. */
  takeFirstOther(): QueuedEvent | undefined {
    return this.hasTakenOther ? undefined : this.takeOther();
  }

  private takeOther(): QueuedEvent | undefined {
    const event = this.others.take();
    this.hasTakenOther ||= event !== undefined;
    return event;
  }
}

class EventLane {
  /** Events to take, the next one last. */
  private current: QueuedEvent[] = [];
  private added: QueuedEvent[] = [];

  get length(): number {
    return this.current.length + this.added.length;
  }

  add(event: QueuedEvent): void {
    this.added.push(event);
  }

  beginTurn(): void {
    if (this.added.length > 0) {
      this.current = [...this.added.reverse(), ...this.current];
      this.added = [];
    }
  }

  take(): QueuedEvent | undefined {
    return this.current.pop();
  }
}
