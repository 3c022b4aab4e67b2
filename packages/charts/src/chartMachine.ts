/**
 * Runs compiled charts.
 *
 * `ChartMachine` binds a chart to its actions, guards and delays once;
 * `ChartInstance` is one running copy with its own context. Events that an
 * action sends to its own instance are queued until the current one is handled.
 */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Disposable,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import type { Chart, ChartTimer, CompiledTransition } from './chart.js';

/** An event with a name that the chart declares. */
export interface ChartEvent {
  readonly type: string;
}

export type ChartAction<C, E extends ChartEvent> = (
  context: C,
  event: E | undefined,
  now: Milliseconds,
) => void;

export type ChartGuard<C, E extends ChartEvent> = (
  context: C,
  event: E | undefined,
  now: Milliseconds,
) => boolean;

/** Returns a delay in milliseconds. */
export type ChartDelay<C> = (context: C, now: Milliseconds) => number;

/** The actions, guards and delays that a chart names. */
export interface ChartBindings<C, E extends ChartEvent> {
  readonly actions: Readonly<Record<string, ChartAction<C, E>>>;
  readonly guards: Readonly<Record<string, ChartGuard<C, E>>>;
  readonly delays: Readonly<Record<string, ChartDelay<C>>>;
}

/** Schedules the timers of chart instances. */
export abstract class ChartTimers {
  abstract schedule(
    delay: Milliseconds,
    callback: (now: Milliseconds) => void,
    /** Whether it ends work, so that it goes before other events that wait. */
    isEnd?: boolean,
  ): Disposable;
}

interface BoundTransition<C, E extends ChartEvent> {
  readonly guard: ChartGuard<C, E> | undefined;
  readonly targetLeaf: number;
  readonly actions: readonly ChartAction<C, E>[];
  readonly source: CompiledTransition;
}

type BoundTable<
  C,
  E extends ChartEvent,
> = readonly (readonly (readonly BoundTransition<C, E>[])[])[];

export class ChartMachine<C, E extends ChartEvent> {
  private constructor(
    readonly chart: Chart,
    readonly table: BoundTable<C, E>,
    readonly initial: BoundTransition<C, E>,
    readonly delays: Readonly<Record<string, ChartDelay<C>>>,
  ) {}

  /** Binds every name that the chart uses. Fails with `BadChart` on a missing or unused binding. */
  static bind<C, E extends ChartEvent>(
    chart: Chart,
    bindings: ChartBindings<C, E>,
  ): Result<ChartMachine<C, E>> {
    const faults = [
      ...compareNames('action', chart.actionNames, bindings.actions),
      ...compareNames('guard', chart.guardNames, bindings.guards),
      ...compareNames('delay', chart.delayNames, bindings.delays),
    ];
    if (faults.length > 0) {
      return Err(
        new TypedError(
          ErrorKind.BadChart,
          `chart ${chart.id}: ${faults.join(', ')}`,
          'use the same names in the chart file and in its bindings',
        ),
      );
    }
    const bindTransition = (
      candidate: CompiledTransition,
    ): BoundTransition<C, E> => bindNames(candidate, bindings);
    const table = chart.leaves.map(leaf =>
      leaf.candidates.map(list => list.map(bindTransition)),
    );
    const initial = bindTransition(chart.initial);
    return Ok(new ChartMachine(chart, table, initial, bindings.delays));
  }

  /** Creates an instance; `start` enters its initial state. */
  createInstance(context: C, timers: ChartTimers): ChartInstance<C, E> {
    return new ChartInstance(this, context, timers);
  }
}

const compareNames = (
  kind: string,
  used: ReadonlySet<string>,
  bound: Readonly<Record<string, unknown>>,
): string[] => [
  ...[...used]
    .filter(name => !Object.hasOwn(bound, name))
    .map(name => `${kind} "${name}" is not registered`),
  ...Object.keys(bound)
    .filter(name => !used.has(name))
    .map(name => `${kind} "${name}" is not used by the chart`),
];

const bindNames = <C, E extends ChartEvent>(
  candidate: CompiledTransition,
  bindings: ChartBindings<C, E>,
): BoundTransition<C, E> => ({
  guard:
    candidate.guard === undefined
      ? undefined
      : bindings.guards[candidate.guard],
  targetLeaf: candidate.targetLeaf,
  actions: candidate.actions.flatMap(name => bindings.actions[name] ?? []),
  source: candidate,
});

export class ChartInstance<C, E extends ChartEvent> implements Disposable {
  private activeLeaf = -1;
  private isTransitioning = false;
  private pendingEvents: E[] = [];
  private readonly timersByState = new Map<number, Disposable[]>();

  constructor(
    private readonly machine: ChartMachine<C, E>,
    readonly context: C,
    private readonly timers: ChartTimers,
  ) {}

  /** The path of the active leaf state; empty before the start. */
  get state(): string {
    return this.machine.chart.leaves[this.activeLeaf]?.path ?? '';
  }

  get isFinal(): boolean {
    return this.machine.chart.leaves[this.activeLeaf]?.isFinal ?? false;
  }

  /** Says whether the state or one of its descendants is active. */
  matches(path: string): boolean {
    return this.state === path || this.state.startsWith(`${path}.`);
  }

  /** Enters the initial state. */
  start(now: Milliseconds): void {
    this.takeTransition(this.machine.initial, undefined, now);
    this.handlePending(now);
  }

  /** Handles one event; returns false when the active state ignores it. */
  send(event: E, now: Milliseconds): boolean {
    if (this.isTransitioning) {
      this.pendingEvents.push(event);
      return true;
    }
    const handled = this.handleEvent(
      this.machine.chart.eventIndex.get(event.type) ?? -1,
      event,
      now,
    );
    this.handlePending(now);
    return handled;
  }

  dispose(): void {
    for (const owner of this.timersByState.keys()) {
      this.stopTimers(owner);
    }
  }

  private handlePending(now: Milliseconds): void {
    for (
      let next = this.pendingEvents.shift();
      next;
      next = this.pendingEvents.shift()
    ) {
      const index = this.machine.chart.eventIndex.get(next.type) ?? -1;
      this.handleEvent(index, next, now);
    }
  }

  private handleEvent(
    eventIndex: number,
    event: E | undefined,
    now: Milliseconds,
  ): boolean {
    const candidates = this.machine.table[this.activeLeaf]?.[eventIndex] ?? [];
    for (const candidate of candidates) {
      if (candidate.guard?.(this.context, event, now) ?? true) {
        this.takeTransition(candidate, event, now);
        return true;
      }
    }
    return false;
  }

  private takeTransition(
    candidate: BoundTransition<C, E>,
    event: E | undefined,
    now: Milliseconds,
  ): void {
    this.isTransitioning = true;
    candidate.source.exited.forEach(owner => {
      this.stopTimers(owner);
    });
    this.activeLeaf = candidate.targetLeaf;
    try {
      for (const action of candidate.actions) {
        action(this.context, event, now);
      }
    } finally {
      this.isTransitioning = false;
    }
    candidate.source.timers.forEach(timer => {
      this.startTimer(timer, now);
    });
  }

  private startTimer(timer: ChartTimer, now: Milliseconds): void {
    const computeDelay = this.machine.delays[timer.delay];
    const delay = computeDelay
      ? computeDelay(this.context, now)
      : Number(timer.delay);
    const handle = this.timers.schedule(
      delay,
      firedAt => {
        this.handleEvent(timer.event, undefined, firedAt);
        this.handlePending(firedAt);
      },
      timer.isEnd,
    );
    const list = this.timersByState.get(timer.owner) ?? [];
    this.timersByState.set(timer.owner, [...list, handle]);
  }

  private stopTimers(owner: number): void {
    this.timersByState.get(owner)?.forEach(handle => {
      handle.dispose();
    });
    this.timersByState.delete(owner);
  }
}
