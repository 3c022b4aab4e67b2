/** Delays of leadership and of the repair of placement, in milliseconds. */

/** Delay before a join or leave that failed is sent again; two tries that time out fit into a lease after its first renewal. */
export const leaseRetryDelayMs = 250;

/** Failures in a row after which calls to the group are repeated only at the interval of renewals; each costs the store a call. */
export const maxFastRetries = 2;

/** Answered leaves since the last answered join after which joins are repeated only at the interval of renewals; a store that refuses joins but answers leaves would get 12 calls a second otherwise. */
export const maxFastLeaves = 1;

/** Joins in a row that may fail before a member without a lease leaves; a single one may meet a short pause of the store. */
export const maxFailedJoins = 2;

/** Time before the end of its lease at which a leader that cannot renew it leaves the group; a leave takes a round trip to the store. */
export const leaseHandoverMs = 300;

/** Time for an accepted order before it counts as lost; draining takes up to 10 s and loading some seconds more. */
export const committedLoadTimeoutMs = 14_000;

/** Age up to which an order without an answer is sent again; a server that stays silent is planned without by then. */
export const maxRepeatAgeMs = 4_000;

/** Time from the first sign of a loss until placement plans: the other servers are probed at once, and those that were lost with it refuse within a round trip. */
export const jointLossMs = 100;
