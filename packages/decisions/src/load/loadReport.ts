/** What an agent says of its load; a hint with an age, never the truth. */

/** Load of one rank at an agent. */
export interface RankLoad {
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Pieces of work that wait. */
  readonly waiting: number;
  /** Cost of the waiting work, in token units. */
  readonly waitingCost: number;
  /** Milliseconds that new work of the rank is expected to wait. */
  readonly waitMs: number;
}

export interface LoadReport {
  readonly running: number;
  readonly slots: number;
  /** Generated tokens a second that the server reaches with full batches. */
  readonly capacity: number;
  /** Milliseconds of one decode pass at the present load. */
  readonly passMs: number;
  /** Passes that wait in the engine. */
  readonly depth: number;
  readonly ranks: readonly RankLoad[];
}
