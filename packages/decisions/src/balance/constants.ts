/** Limits, weights and intervals of the spread of load over servers; milliseconds unless the name says otherwise. */
import type { Milliseconds } from '@lycheetally/common';

/** Chains that are drawn within the home domain for each call; two random choices already flatten the busiest server most. */
export const homeDraws = 2;

/** Chains that are drawn within another domain for each call, so that a busy domain sends calls to another one. */
export const otherDraws = 1;

/** Chains over all domains that are drawn, at most, while no domain has a chain with room. */
export const mixedDraws = 2;

/** Holders of each layer that a draw compares; one more than two, so that the cut points of ranges differ as well. */
export const holdersPerLayer = 3;

/** Servers that one draw looks at, at most; bounds the cost of a choice in a fleet of any size. */
export const maxProbes = 384;

/** Lowest share of the best server's room by which a server is weighted; a server without room is drawn last. */
export const minWeight = 0.02;

/** Cost of a further stage in a draw, where a chain of equal servers costs about 0.5; each further stage is one more server whose loss breaks the stream. */
export const stageCost = 0.05;

/** Cost of a hop to another failure domain in a draw; above that of a whole chain of equal servers, so that a chain crosses only where it must. */
export const crossingCost = 1;

/** Weight of each multiple by which a server alone is slower than the pace, in the cost of a draw. */
export const slowServerWeight = 4;

/** Weight of each multiple by which a chain is slower than the pace, against the share of a server that is in use. */
export const slowChainWeight = 2;

/** Weight of the mean use of a chain's servers against that of its busiest one. */
export const meanUseWeight = 0.5;

/** Use that a chain in another failure domain must save; the text takes a few milliseconds to get there. */
export const otherDomainUse = 0.1;

/** Use that counts for a server without room, so that any chain with room is better. */
export const fullUse = 10;

/** Share of a route's latency target that one event may take; a chain within it leaves time for queues at its servers. */
export const paceShare = 0.25;

/** Share of a route's latency target that the first event may take without queues; the rest is for queues and repeats. */
export const firstEventShare = 0.5;

/** Time per token up to which chains count as equal while the route's pace is unknown. */
export const defaultPaceMs: Milliseconds = 25;

/** Use of a link from which a chain that crosses it counts as without room; queues grow fast beyond it. */
export const maxLinkUse = 0.8;

/** Half-life of the calls that count as recent use of a link; about the time in which a prompt's transfers finish under load. */
export const linkHalfLifeMs: Milliseconds = 1_000;

/** Age up to which what other gateways reported counts in full; two intervals of reports, one to the relay and one back, with a reserve. */
export const freshReportMs: Milliseconds = 1_500;

/** Age from which what other gateways reported no longer counts; most calls that it counted have ended. */
export const maxReportAgeMs: Milliseconds = 2_000;

/** Half-life of what a server told of its load; some calls begin and end at it in that time. */
export const toldHalfLifeMs: Milliseconds = 500;

/** Share of the error of a predicted pause that one pause corrects; a slow server is known after some tens of events. */
export const paceCorrection = 0.1;

/** Multiple of the predicted pause up to which a pause counts; a longer one is a stall or a late turn of this gateway, and says little of the pace. */
export const maxPauseRatio = 4;

/** Lowest ratio of a server's observed step time to the predicted one. */
export const minStepTimeRatio = 0.5;

/** Highest ratio of a server's observed step time to the predicted one; a slower one is stalled, which others find out. */
export const maxStepTimeRatio = 16;

/** Share of the other gateways that must have reported for their reports to count in full; the mean of fewer says little of the rest. */
export const fullCoverage = 0.5;

/** Time for which a report keeps older ones of its sender out; late messages are given up after a fraction of it. */
export const reportMemoryMs: Milliseconds = 10_000;

/** Senders whose reports are kept, at most; more than the gateways of any deployment. */
export const maxReporters = 1_024;

/** Servers in one message, at most; those with most in flight. With 14 bytes each a message stays below 2 KB. */
export const maxFlights = 128;
