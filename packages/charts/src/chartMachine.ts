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
import type { Candidate, Chart, ChartTimer } from './chart.js';

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
  ): Disposable;
}

interface BoundCandidate<C, E extends ChartEvent> {
  readonly guard: ChartGuard<C, E> | undefined;
  readonly target: number;
  readonly actions: readonly ChartAction<C, E>[];
  readonly source: Candidate;
}

type BoundTable<
  C,
  E extends ChartEvent,
> = readonly (readonly (readonly BoundCandidate<C, E>[])[])[];

export class ChartMachine<C, E extends ChartEvent> {
  private constructor(
    readonly chart: Chart,
    readonly table: BoundTable<C, E>,
    readonly initial: BoundCandidate<C, E>,
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
    const bindOne = (candidate: Candidate): BoundCandidate<C, E> =>
      bindCandidate(candidate, bindings);
    const table = chart.leaves.map(leaf =>
      leaf.candidates.map(list => list.map(bindOne)),
    );
    const initial = bindOne(chart.initial);
    return Ok(new ChartMachine(chart, table, initial, bindings.delays));
  }

  /** Creates an instance; `start` enters its initial state. */
  createInstance(context: C, timers: ChartTimers): ChartInstance<C, E> {
    return new ChartInstance(this, context, timers);
  }
}

const compareNames = (
  kind: string,
  named: ReadonlySet<string>,
  bound: Readonly<Record<string, unknown>>,
): string[] => [
  ...[...named]
    .filter(name => !Object.hasOwn(bound, name))
    .map(name => `${kind} "${name}" is not registered`),
  ...Object.keys(bound)
    .filter(name => !named.has(name))
    .map(name => `${kind} "${name}" is not used by the chart`),
];

const bindCandidate = <C, E extends ChartEvent>(
  candidate: Candidate,
  bindings: ChartBindings<C, E>,
): BoundCandidate<C, E> => ({
  guard:
    candidate.guard === undefined
      ? undefined
      : bindings.guards[candidate.guard],
  target: candidate.target,
  actions: candidate.actions.flatMap(name => bindings.actions[name] ?? []),
  source: candidate,
});

export class ChartInstance<C, E extends ChartEvent> implements Disposable {
  private leaf = -1;
  private busy = false;
  private waiting: E[] = [];
  private readonly running = new Map<number, Disposable[]>();

  constructor(
    private readonly machine: ChartMachine<C, E>,
    readonly context: C,
    private readonly timers: ChartTimers,
  ) {}

  /** The path of the active leaf state; empty before the start. */
  get state(): string {
    return this.machine.chart.leaves[this.leaf]?.path ?? '';
  }

  get isFinal(): boolean {
    return this.machine.chart.leaves[this.leaf]?.isFinal ?? false;
  }

  /** Says whether the state or one of its descendants is active. */
  matches(path: string): boolean {
    return this.state === path || this.state.startsWith(`${path}.`);
  }

  /** Enters the initial state. */
  start(now: Milliseconds): void {
    this.take(this.machine.initial, undefined, now);
    this.runWaiting(now);
  }

  /** Handles one event; returns false when the active state ignores it. */
  send(event: E, now: Milliseconds): boolean {
    if (this.busy) {
      this.waiting.push(event);
      return true;
    }
    const handled = this.step(
      this.machine.chart.eventIndex.get(event.type) ?? -1,
      event,
      now,
    );
    this.runWaiting(now);
    return handled;
  }

  dispose(): void {
    for (const owner of this.running.keys()) {
      this.stopTimers(owner);
    }
  }

  private runWaiting(now: Milliseconds): void {
    for (let next = this.waiting.shift(); next; next = this.waiting.shift()) {
      const index = this.machine.chart.eventIndex.get(next.type) ?? -1;
      this.step(index, next, now);
    }
  }

  private step(
    eventIndex: number,
    event: E | undefined,
    now: Milliseconds,
  ): boolean {
    const candidates = this.machine.table[this.leaf]?.[eventIndex] ?? [];
    for (const candidate of candidates) {
      if (candidate.guard?.(this.context, event, now) ?? true) {
        this.take(candidate, event, now);
        return true;
      }
    }
    return false;
  }

  private take(
    candidate: BoundCandidate<C, E>,
    event: E | undefined,
    now: Milliseconds,
  ): void {
    this.busy = true;
    candidate.source.exited.forEach(owner => {
      this.stopTimers(owner);
    });
    this.leaf = candidate.target;
    try {
      for (const action of candidate.actions) {
        action(this.context, event, now);
      }
    } finally {
      this.busy = false;
    }
    candidate.source.timers.forEach(timer => {
      this.startTimer(timer, now);
    });
  }

  private startTimer(timer: ChartTimer, now: Milliseconds): void {
    const named = this.machine.delays[timer.delay];
    const delay = named ? named(this.context, now) : Number(timer.delay);
    const handle = this.timers.schedule(delay, firedAt => {
      this.step(timer.event, undefined, firedAt);
      this.runWaiting(firedAt);
    });
    const list = this.running.get(timer.owner) ?? [];
    this.running.set(timer.owner, [...list, handle]);
  }

  private stopTimers(owner: number): void {
    this.running.get(owner)?.forEach(handle => {
      handle.dispose();
    });
    this.running.delete(owner);
  }
}
