/** What an agent says of its load; a hint with an age, never the truth. */

/** Load of one rank at an agent. */
export interface RankLoad {
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Pieces of work that wait. */
  readonly waiting: number;
  /** Cost of the waiting work, in token units. */
  readonly waitingCost: number;
  /** Sequences of the rank that pass through the server, whatever their first stage. */
  readonly sequences: number;
  /** Milliseconds that new work of the rank is expected to wait. */
  readonly waitMs: number;
}

export interface LoadReport {
  /** Slots in use by work that begins here. */
  readonly running: number;
  readonly slots: number;
  /** Generated tokens a second that the server reaches with full batches. */
  readonly capacity: number;
  /** Recent mean of the milliseconds of one decode pass. */
  readonly passMs: number;
  readonly ranks: readonly RankLoad[];
}
