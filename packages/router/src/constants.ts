/** Bounds and intervals of the router's processes. */

/** Events that the time line of one process keeps. */
export const eventRingCapacity = 20_000;

/** Milliseconds that tokens may wait to share a frame to an entry. */
export const tokenFlushIntervalMs = 4;

/** Milliseconds between heartbeats on an idle connection. */
export const heartbeatIntervalMs = 500;

/** Milliseconds between heartbeats on a connection that carries nothing else. */
export const quietHeartbeatIntervalMs = 2_000;

/** Milliseconds without an answer after which a connection counts as silent. */
export const silenceBoundMs = 1_500;

/** Milliseconds that opening a connection may take. */
export const connectTimeoutMs = 2_000;

/** Milliseconds before a lost connection is opened again. */
export const reconnectDelayMs = 200;

/** Milliseconds before a connection that was open is opened again. */
export const reopenDelayMs = 20;

/** Milliseconds that work which may be repeated waits for its connection. */
export const partBoundMs = 400;

/** Milliseconds that work which must not be repeated waits for its connection. */
export const longPartBoundMs = 4_000;

/** Milliseconds that an agent goes on for an entry whose connection is lost. */
export const ownerGraceMs = 5_000;

/** Ended attempts whose answers an agent keeps for an entry that missed them. */
export const maxKeptAnswers = 256;

/** The largest answer of a plain service that is kept, in bytes. */
export const maxKeptAnswerBytes = 64 * 1_024;

/** Milliseconds in which an agent must answer an offer. */
export const offerTimeoutMs = 1_000;

/** Milliseconds in which an agent must answer a revocation. */
export const revokeTimeoutMs = 2_000;

/** Milliseconds in which an agent must answer a cancellation. */
export const cancelTimeoutMs = 2_000;

/** Milliseconds after which a cancelled request ends whatever its attempt says. */
export const cancelBoundMs = 3_000;

/** Milliseconds in which the later stages must accept a chain. */
export const reserveTimeoutMs = 800;

/** Milliseconds in which work that a stop cuts must end. */
export const cutBoundMs = 4_000;

/** Milliseconds between reads of the VM list. */
export const vmListIntervalMs = 1_000;

/** Milliseconds between reads of the configuration stream. */
export const configReadIntervalMs = 1_000;

/** Milliseconds between reads that check the last applied record again. */
export const configCheckIntervalMs = 10 * 60 * 1_000;

/** Starts of agents that left, as far as an entry remembers them. */
export const maxDepartedStarts = 10_000;

/** Ended attempts that an agent remembers, so as not to run them again. */
export const maxEndedAttempts = 60_000;

/** Milliseconds that a request may take when its caller names no deadline. */
export const defaultDeadlineMs = 60_000;

/** The longest deadline that a caller may name, in milliseconds. */
export const maxDeadlineMs = 24 * 60 * 60 * 1_000;

/** The most tokens that a request may ask for. */
export const maxTokensPerRequest = 32_768;

/** Tokens generated when a caller names no number. */
export const defaultMaxTokens = 64;

/** Milliseconds between reads of a claims stream when nothing asks for one. */
export const claimReadIntervalMs = 4_000;

/** Milliseconds before a claims stream that could not be read is tried again. */
export const claimRetryIntervalMs = 500;

/** Milliseconds for which a repeat waits for the attempt that holds its key. */
export const claimPatienceMs = 1_000;

/** Milliseconds between questions to the agent that a claim names. */
export const claimAskIntervalMs = 250;

/** Milliseconds in which that agent must answer. */
export const claimAskBoundMs = 3_000;

/** Records that wait for one claims stream at most. */
export const maxWaitingClaimRecords = 20_000;

/** The most records in one append. */
export const maxClaimBatch = 500;

/** The largest answer that a claims stream keeps for repeats, in bytes. */
export const maxClaimAnswerBytes = 65_536;
/** Milliseconds of a minute. */
export const msPerMinute = 60_000;

/** Outcome records that an entry keeps. */
export const defaultLedgerRecords = 50_000;

/** Minutes for which an entry keeps an outcome record. */
export const defaultLedgerMinutes = 60;
