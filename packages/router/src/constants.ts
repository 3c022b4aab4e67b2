/** Limits, timeouts and intervals of entries and agents. */

/** Maximum number of events that a process keeps for the timeline. */
export const eventRingCapacity = 20_000;

/**
 * Minimum interval between frames that carry only tokens to an entry, in
 * milliseconds, so that tokens of several requests share a frame.
 */
export const tokenFlushIntervalMs = 4;

/** Interval between heartbeats on a connection with traffic, in milliseconds. */
export const heartbeatIntervalMs = 500;

/**
 * Interval between heartbeats on a connection without other traffic, in
 * milliseconds.
 */
export const idleHeartbeatIntervalMs = 2_000;

/**
 * Time to wait for the answer to a heartbeat before a connection is replaced,
 * in milliseconds.
 */
export const heartbeatTimeoutMs = 1_500;

/** Time limit for opening a connection, in milliseconds. */
export const connectTimeoutMs = 2_000;

/** Delay after a failed attempt to connect, in milliseconds. */
export const reconnectDelayMs = 200;

/**
 * Delay before an established connection that was lost is opened again, in
 * milliseconds.
 */
export const reopenDelayMs = 20;

/**
 * Time that a repeatable attempt waits for a lost connection to be restored, in
 * milliseconds.
 */
export const reconnectTimeoutMs = 400;

/**
 * Time that a non-repeatable attempt waits for a lost connection to be restored,
 * in milliseconds.
 */
export const nonRepeatableReconnectTimeoutMs = 4_000;

/**
 * Time that an agent continues work for an entry after losing its connection,
 * in milliseconds.
 */
export const entryDisconnectGraceMs = 5_000;

/**
 * Maximum number of ended attempts whose results an agent keeps, in case the
 * entry missed them.
 */
export const maxKeptAnswers = 256;

/** Maximum size of a plain service's response that is kept, in bytes. */
export const maxKeptAnswerBytes = 64 * 1_024;

/** Time limit for an agent to answer an offer, in milliseconds. */
export const offerTimeoutMs = 1_000;

/** Time limit for an agent to answer a revocation, in milliseconds. */
export const revokeTimeoutMs = 2_000;

/** Time limit for an agent to answer a cancellation, in milliseconds. */
export const cancelTimeoutMs = 2_000;

/**
 * Time after which a cancelled request ends with an unknown outcome even if its
 * attempt has not ended, in milliseconds.
 */
export const requestCancelTimeoutMs = 3_000;

/**
 * Time limit for the later stages of a chain to accept the work, in
 * milliseconds.
 */
export const reserveTimeoutMs = 800;

/**
 * Time that cancelled work may take to end when a stop exceeds its drain limit,
 * in milliseconds.
 */
export const forcedStopTimeoutMs = 4_000;

/** Interval between reads of the VM list, in milliseconds. */
export const vmListIntervalMs = 1_000;

/** Interval between reads of the configuration stream, in milliseconds. */
export const configReadIntervalMs = 1_000;

/**
 * Interval between checks that the last applied record is unchanged in the
 * log, in milliseconds.
 */
export const configCheckIntervalMs = 10 * 60 * 1_000;

/** Maximum number of incarnations of departed agents that an entry remembers. */
export const maxDepartedIncarnations = 10_000;

/**
 * Maximum number of ended attempts that an agent remembers, so that it does not
 * run them again.
 */
export const maxEndedAttempts = 60_000;

/** Deadline of a request whose caller sets none, in milliseconds. */
export const defaultDeadlineMs = 60_000;

/** Longest deadline that a caller may set, in milliseconds. */
export const maxDeadlineMs = 24 * 60 * 60 * 1_000;

/** Maximum number of tokens that a request may ask for. */
export const maxTokensPerRequest = 32_768;

/** Number of tokens generated when the caller sets no limit. */
export const defaultMaxTokens = 64;

/**
 * Interval between reads of a claims stream that nothing triggers, in
 * milliseconds.
 */
export const claimReadIntervalMs = 4_000;

/**
 * Delay before a claims stream that could not be read is read again, in
 * milliseconds.
 */
export const claimRetryIntervalMs = 500;

/**
 * Time that a repeated request waits for the attempt that holds its key before
 * it asks that attempt's agent, in milliseconds.
 */
export const claimHolderWaitMs = 1_000;

/** Interval between queries to the agent that a claim names, in milliseconds. */
export const claimQueryIntervalMs = 250;

/** Time limit for that agent to answer the queries, in milliseconds. */
export const claimQueryTimeoutMs = 3_000;

/** Maximum number of records that wait to be appended to one claims stream. */
export const maxPendingClaimRecords = 20_000;

/** Maximum number of records in one append. */
export const maxClaimBatch = 500;

/**
 * Maximum size of a response that a claims stream stores for repeated requests,
 * in bytes.
 */
export const maxClaimAnswerBytes = 65_536;

export const millisecondsPerMinute = 60_000;

/** Maximum number of outcome records that an entry keeps. */
export const defaultLedgerRecords = 50_000;

/** Retention of an outcome record on an entry, in minutes. */
export const defaultLedgerMinutes = 60;

/** Kinds of work that crashed servers and that an entry tracks at most. */
export const maxWorkSuspects = 256;

/** Crashes remembered at most for each kind of work. */
export const maxSightingsPerWork = 64;

/** Crashes remembered at most for each service. */
export const maxCrashesPerService = 256;

/** Servers of which an entry remembers the last crash at most. */
export const maxServerRuns = 1_024;

/** Resolution of the times at which a service wrote answers, in milliseconds. */
export const answerTimeResolutionMs = 50;

/** How long a trial of refused work may stay without a result, in milliseconds. */
export const workTrialTimeoutMs = 10_000;

/** Usual time until a server that crashed is back, in milliseconds; `Retry-After` of work that waits for it. */
export const usualServerRestartMs = 3_500;

/** Tokens of an answer after which its servers did not crash at its start. */
export const minTokensUnderWay = 2;
