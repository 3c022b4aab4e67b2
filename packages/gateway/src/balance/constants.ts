/** Timeouts, intervals and bounds of load reports between gateways; milliseconds unless the name says otherwise. */
import type { Milliseconds } from '@lycheetally/common';

/** Shortest time between two reports of a gateway; two a second are worth their cost. */
export const reportIntervalMs: Milliseconds = 500;

/** Time after which a gateway reports without a change, since the relay drops reports after 2 s and the answer is news, too. */
export const refreshIntervalMs: Milliseconds = 600;

/** Timeout of a report; a later answer would be nearly too old to count. */
export const reportTimeoutMs: Milliseconds = 400;

/** Bytes per second, both ways, that a gateway exchanges with a relay; the requirement allows 2 KB. Only relays have more than one partner. */
export const maxReportBytesPerSecond = 1_900;

/** Bytes of the HTTP heads of a report and its answer: 277 on a loopback exchange, and some for longer addresses. */
export const headBytes = 300;

/** Bytes of a message that are read, at most; 128 servers at up to 30 bytes. */
export const maxMessageBytes = 8_192;

/** Shortest time between two log lines about refused reports. */
export const refusalLogIntervalMs: Milliseconds = 10_000;
