/** Bounds and intervals of a gateway, in milliseconds unless named otherwise. */

/** A connection to a backend server is opened within this; three round trips between regions. */
export const connectBoundMs = 300;

/** Silence before the first event after which a chain is asked about; longer than its target. */
export const firstSilenceMs = 700;

/** Silence inside a stream after which its chain is asked about; a few events' time, and doubled each time. */
export const streamSilenceMs = 300;

/** The longest of the doubled silences; half of a caller's shortest patience. */
export const maxSilenceMs = 1_000;

/** An answer to a question about a stalled chain is awaited this long. */
export const reportBoundMs = 300;

/** A call without a usable server looks again after this. */
export const routeWaitMs = 40;

/** Share of its target for which a call may wait for a server; waiting longer delays the refusal. */
export const maxWaitShare = 0.12;

/** A broken stream waits this long for a server; its caller gives up a gap of two seconds. */
export const maxResumeWaitMs = 1_500;

/** A refused caller is asked to come back after this; about the time of a new placement. */
export const retryAfterMs = 1_000;

/** A caller refused for want of a configuration comes back after this; a read of the store. */
export const notReadyRetryAfterMs = 300;

/** A gateway cut off from the store sends callers to another one; time for a new connection. */
export const staleRetryAfterMs = 100;

/** A stopping gateway sends callers elsewhere at once. */
export const leavingRetryAfterMs = 50;

/** The longest waiting read of the configuration; a connection that fell silent is noticed after it. */
export const maxConfigWaitMs = 1_500;

/** The same as a share of the time after which a revoked key must fail: two reads fit into the age that may be used. */
export const configWaitShare = 0.3;

/** Pause between reads of the list of servers; several fit into the time to stop sending to one that leaves. */
export const serverReadPauseMs = 800;

/** A read of the store that has not been answered by then counts as lost. */
export const storeAnswerBoundMs = 700;

/** Pause before a lost table is read again. */
export const storeRetryPauseMs = 250;

/** Servers that vanish this soon after the store was away are kept until it has passed. */
export const lapsedEntryGraceMs = 2_500;

/** A server that refused is passed over for this long; a few calls end there meanwhile. */
export const crowdedMs = 250;

/** A heartbeat read this long after a server fell silent was sent after it; one read of the list and its way. */
export const heartbeatProofMs = 1_000;

/** A silent server is tried again after this when no heartbeat can be read. */
export const silenceOfServerBoundMs = 6_000;

/** Pause between two questions to a suspected server; many calls meet the same refusal. */
export const checkPauseMs = 1_000;

/** Silence after which a call is given up whose chain passes a server that answers no question; two usual pauses. */
export const goneSilenceMs = 250;

/** Share of the heartbeat's interval by which a heartbeat may be late before its server is asked. */
export const heartbeatLateShare = 0.25;

/** First suspension of a server; doubles with each in a row. */
export const firstSuspensionMs = 1_000;

/** Longest suspension of a server. */
export const maxSuspensionMs = 4_000;

/** Errors in a row after which a server is suspended. */
export const maxErrorsInRow = 3;

/** Pause between joins of the duty's group. */
export const dutyRenewPauseMs = 1_000;

/** Lease of the duty that the group is asked for; three renewals. */
export const dutyLeaseMs = 3_000;

/** Pause between two looks at the placement of layers. */
export const planPauseMs = 400;

/** The first placement waits until no server has joined for this long. */
export const settlePauseMs = 1_200;

/** The first placement waits no longer than this after the process began. */
export const settleBoundMs = 6_500;

/** An accepted order is taken for lost when its layers have not shown by then. */
export const loadBoundMs = 8_000;

/** A refused or doubtful order is planned anew after this. */
export const orderPauseMs = 700;

/** A server that refused an order is still giving up layers; others are planned with for this long. */
export const refusedServerPauseMs = 2_500;

/** An order's answer is awaited this long. */
export const orderAnswerBoundMs = 800;

/** A stopping gateway asks its callers to leave after this; the balancer has seen it by then. */
export const leaveConnectionsAfterMs = 2_500;

/** A stopping gateway refuses calls from then on; a stream begun later could not end in time. */
export const refuseCallsAfterMs = 3_500;

/** Part of the platform's grace that is kept for the exit itself. */
export const exitReserveMs = 600;

/** The largest answer of a plain service that is held before it is passed on, in bytes. */
export const maxHeldAnswerBytes = 16 * 1_024 * 1_024;

/** Longest idle time of a connection to a backend server. */
export const backendIdleMs = 4_000;

/** A call that must not repeat only re-uses connections that were busy this recently. */
export const sureConnectionMs = 1_000;

/** Tokens that a call is taken for when it does not say. */
export const defaultCallTokens = 1_000;
