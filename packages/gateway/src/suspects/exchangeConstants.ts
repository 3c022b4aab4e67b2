/** Intervals and limits of the exchange of suspects between gateways, in milliseconds unless the name says otherwise. */
import { maxPeersAgeMs } from '../constants.js';

/** Interval between two messages with changed records of suspects to one gateway. */
export const suspectPushIntervalMs = 250;

/** Interval between two comparisons of the records of suspects with other gateways. */
export const suspectCompareIntervalMs = 1_000;

/** Gateways with which each comparison is made. */
export const suspectComparedPeers = 2;

/** Gateways that one asks for records of suspects when it starts. */
export const suspectJoinPeers = 3;

/** Time after the start after which a gateway sends all calls, whatever it has learnt from others. */
export const suspectLearningLimitMs = 2_000;

/** Delay before a gateway that starts asks again for records of suspects. */
export const suspectJoinRetryMs = 500;

/** Time after the start in which the other gateways may not know this one; comparisons make up for it. */
export const suspectSettlingMs = maxPeersAgeMs;

/** Timeout of a message about suspects to another gateway. */
export const suspectTimeoutMs = 500;

/** First pause after a gateway did not answer a message about suspects; doubles with each further one. */
export const suspectFirstPauseMs = 500;

/** Longest pause after a gateway did not answer; it must hear of a crash again soon after it is back. */
export const suspectMaxPauseMs = 2_000;

/** Messages about suspects that a gateway sends at once. */
export const maxSuspectMessages = 64;

/** Interval between two log lines about malformed messages. */
export const malformedLogIntervalMs = 10_000;
