/**
 * A chart compiled into a flat table.
 *
 * For each leaf state and event the table holds the candidate transitions of
 * the leaf and its ancestors, innermost first, each with the whole sequence of
 * exit, transition and entry actions computed in advance.
 */

/** A timer that runs while its state is active. */
export interface ChartTimer {
  /** Name of the delay, or milliseconds written as digits. */
  readonly delay: string;
  /** Whether it ends work, so that it goes before other events. */
  readonly isEnd: boolean;
  readonly event: number;
  /** Index of the state that owns the timer. */
  readonly owner: number;
}

/** A transition, resolved for one leaf state. */
export interface CompiledTransition {
  /** Name of the guard; absent when the transition is unconditional. */
  readonly guard: string | undefined;
  /** Index of the leaf that is active afterwards. */
  readonly targetLeaf: number;
  readonly actions: readonly string[];
  /** Indices of the exited states, whose timers are stopped. */
  readonly exited: readonly number[];
  /** Timers of the entered states, which are started. */
  readonly timers: readonly ChartTimer[];
}

/** A compiled leaf state. */
export interface LeafState {
  readonly path: string;
  readonly isFinal: boolean;
  /** Candidates by event index; empty where the event is ignored. */
  readonly candidates: readonly (readonly CompiledTransition[])[];
}

/** A compiled chart. */
export interface Chart {
  readonly id: string;
  /** Event names by index; timer events follow the declared ones. */
  readonly events: readonly string[];
  readonly eventIndex: ReadonlyMap<string, number>;
  readonly leaves: readonly LeafState[];
  readonly initial: CompiledTransition;
  readonly actionNames: ReadonlySet<string>;
  readonly guardNames: ReadonlySet<string>;
  readonly delayNames: ReadonlySet<string>;
}
