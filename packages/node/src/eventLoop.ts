/**
 * The event loop of a process.
 *
 * Messages, timers and completions are queued as typed events. The loop
 * dispatches them one at a time to the handler of their kind, with the
 * current time. A turn lasts for a bounded time, whatever its events take: it acts
 * on what was read before it, and the end of a caller may wait to be read.
 *
 * Node accepts one connection in each poll. While connections come, turns are therefore
 * left out, so that the queue of the listener is read empty; for no longer than the turn before
 * took, as a gateway that accepts more than it can serve would serve nobody.
 */
import {
  Emitter,
  type Disposable,
  type Milliseconds,
} from '@lycheetally/common';
import { ChartTimers } from '@lycheetally/charts';
import { ArrivalWatch } from './arrivalWatch.js';
import type { Clock } from './clock.js';
import { minAcceptMs, maxTurnMs } from './constants.js';
import { EventQueue, type QueuedEvent } from './eventQueue.js';
import { TurnClock, type TurnMeasure } from './turnClock.js';
import { EmptyTurnSource, type TurnSource } from './turnSource.js';
import { RecentViewGate } from './viewGate.js';

/** The handler of each kind of event. */
export type EventHandlers<Events> = {
  readonly [K in keyof Events]: (payload: Events[K], now: Milliseconds) => void;
};

/** An error that a handler threw. */
export interface HandlerError {
  readonly kind: string;
  readonly thrown: unknown;
}

export class EventLoop<Events extends object> extends ChartTimers {
  /** Emits after each turn, so that the messages of a turn can be sent in one batch. */
  readonly turnEnded = new Emitter<Milliseconds>();
  /** Emits what each turn took. */
  readonly turnMeasured = new Emitter<TurnMeasure>();
  /** Emits when a handler throws; the loop continues with the next event. */
  readonly handlerFailed = new Emitter<HandlerError>();

  /** Runs at the beginning of a turn what needs a recent view of the sockets. */
  readonly viewGate: RecentViewGate;

  private handlers: EventHandlers<Events> | undefined;
  private readonly queue = new EventQueue();
  private source: TurnSource = new EmptyTurnSource();
  private isScheduled = false;
  /** Whether a connection was accepted since the last turn. */
  private hasAccepted = false;
  /** When the first connection was accepted after the last turn that was not left out. */
  private acceptingSince: Milliseconds | undefined;
  /** Time for which turns may be left out now. */
  private acceptMs: Milliseconds = minAcceptMs;
  private readonly arrivals: ArrivalWatch;

  constructor(private readonly clock: Clock) {
    super();
    this.arrivals = new ArrivalWatch(clock);
    this.viewGate = new RecentViewGate(clock, this.arrivals, () => {
      this.scheduleTurn();
    });
  }

  /** Sets what the loop does after the events of a turn. */
  setSource(source: TurnSource): void {
    this.source = source;
  }

  /** Notes that a connection was accepted; more of them may wait. */
  noteAccepted(): void {
    this.hasAccepted = true;
    this.acceptingSince ??= this.clock.getNow();
    this.scheduleTurn();
  }

  /** Returns the earliest time at which a connection that is accepted now can have come. */
  estimateConnection(now: Milliseconds): Milliseconds {
    return this.arrivals.estimateConnection(now);
  }

  /** Returns the earliest time at which what is read now can have arrived. */
  estimateArrival(now: Milliseconds): Milliseconds {
    return this.arrivals.estimateArrival(now);
  }

  /** Sets the handlers. Call it before the first turn runs: without handlers, events are dropped. */
  setHandlers(handlers: EventHandlers<Events>): void {
    this.handlers = handlers;
  }

  /** Adds an event to the queue. */
  post<K extends keyof Events & string>(kind: K, payload: Events[K]): void {
    this.queue.add(this.createEvent(kind, payload));
    this.scheduleTurn();
  }

  /** Adds an event that ends work; it goes before all others. */
  postEnd<K extends keyof Events & string>(kind: K, payload: Events[K]): void {
    this.queue.addEnd(this.createEvent(kind, payload));
    this.scheduleTurn();
  }

  override schedule(
    delay: Milliseconds,
    callback: (now: Milliseconds) => void,
    isEnd = false,
  ): Disposable {
    let isActive = true;
    const timer = this.clock.schedule(delay, () => {
      const run = (now: Milliseconds): void => {
        if (isActive) {
          callback(now);
        }
      };
      const queuedAt = this.clock.getNow();
      const event = { kind: 'timer', queuedAt, run };
      if (isEnd) {
        this.queue.addEnd(event);
      } else {
        this.queue.add(event);
      }
      this.scheduleTurn();
    });
    return {
      dispose: () => {
        isActive = false;
        timer.dispose();
      },
    };
  }

  private createEvent<K extends keyof Events & string>(
    kind: K,
    payload: Events[K],
  ): QueuedEvent {
    return {
      kind,
      queuedAt: this.clock.getNow(),
      run: now => this.handlers?.[kind](payload, now),
    };
  }

  /** Runs a turn after I/O that is ready now. */
  scheduleTurn(): void {
    if (this.isScheduled) {
      return;
    }
    this.isScheduled = true;
    this.clock.defer(() => {
      this.runTurn();
    });
  }

  private runTurn(): void {
    this.isScheduled = false;
    const startedAt = this.clock.getNow();
    const readMs = this.arrivals.measureWork(startedAt);
    this.source.beginTurn();
    const turn = new TurnClock(startedAt);
    this.openGate(turn);
    if (this.decideAccepting(startedAt)) {
      this.arrivals.noteTurnEnd(turn.now);
      this.scheduleTurn();
      return;
    }
    this.acceptingSince = undefined;
    this.queue.beginTurn();
    for (let event = this.takeNext(turn); event; event = this.takeNext(turn)) {
      turn.noteEvent(event, this.runEvent(event, turn.now));
    }
    this.acceptMs = Math.max(minAcceptMs, Math.min(turn.elapsedMs, maxTurnMs));
    this.arrivals.noteTurnEnd(turn.now);
    this.turnEnded.emit(turn.now);
    this.turnMeasured.emit({
      ...turn.describe(),
      readMs,
      waiting: this.queue.length,
    });
    if (
      this.queue.length > 0 ||
      this.source.isWaiting ||
      this.viewGate.isWaiting
    ) {
      this.scheduleTurn();
    }
  }

  /** Runs what has waited for the poll before this turn. */
  private openGate(turn: TurnClock): void {
    const { viewGate } = this;
    viewGate.beginTurn();
    for (let event = viewGate.take(); event; event = viewGate.take()) {
      turn.noteEvent(event, this.runEvent(event, turn.now));
    }
  }

  /** Decides whether the turn is left out, since connections come that are to be accepted first. */
  private decideAccepting(now: Milliseconds): boolean {
    const { hasAccepted, acceptingSince = now } = this;
    this.hasAccepted = false;
    if (!hasAccepted) {
      this.arrivals.noteNoneAccepted();
    }
    return hasAccepted && now - acceptingSince < this.acceptMs;
  }

  /** Takes what goes next: one event and one piece of work at least, more while the time of the turn lasts. */
  private takeNext(turn: TurnClock): QueuedEvent | undefined {
    const { queue, source } = this;
    const hasTime = turn.elapsedMs < maxTurnMs;
    const event = hasTime ? queue.take() : queue.takeFirstOther();
    if (event || (turn.hasWorked && !hasTime)) {
      return event;
    }
    turn.hasWorked = true;
    return source.take(turn.now);
  }

  /** Returns when the event was handled. */
  private runEvent(event: QueuedEvent, now: Milliseconds): Milliseconds {
    try {
      event.run(now);
    } catch (thrown) {
      this.handlerFailed.emit({ kind: event.kind, thrown });
    }
    return this.clock.getNow();
  }
}
