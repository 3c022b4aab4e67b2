/** Load reports of agents. A report may be outdated or wrong. */

/** Load that one rank puts on an agent. */
export interface RankLoad {
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Number of queued requests. */
  readonly waiting: number;
  /** Cost of the queued requests, in token units. */
  readonly waitingCost: number;
  /** Sequences of the rank that run on the server, including those whose first stage is elsewhere. */
  readonly sequences: number;
  /** Expected wait of new work of the rank, in milliseconds. */
  readonly waitMs: number;
}

export interface LoadReport {
  /** Slots in use by work whose first stage is this server. */
  readonly running: number;
  readonly slots: number;
  /** Generated tokens per second with full batches. */
  readonly capacity: number;
  /** Recent mean duration of one decode pass, in milliseconds. */
  readonly passMs: number;
  readonly ranks: readonly RankLoad[];
}
