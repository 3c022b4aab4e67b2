/** Constants of admission by capacity, in milliseconds unless the name says otherwise. */

/** Limit of a service at the start: ten times what a gateway runs in normal operation, above the 24 that it ran in a collapse. */
export const initialLimit = 32;

/** Lowest limit; together with the probes, every gateway always observes the service. */
export const minLimit = 1;

/** Below this the limit falls only when runs are nearly late; normal operation is about three. */
export const restingLimit = 8;

/** Largest limit; the connections and buffers of a gateway end sooner. */
export const maxLimit = 1_024;

/** Length of a round of observations: about one pause of a stream near its limit, and ten decreases fit into the second in which the limit must have fallen. */
export const roundMs = 100;

/** A call may start this long after the last one, at least and in usual durations, whatever the limit is: stalled runs must not end the observation, and the probes of all gateways must not keep slow servers slow. */
export const minProbeMs = 1_000;
export const probeDurations = 2;

/** Pressure to which the limit tends: half of the allowed pause remains for what a round does not see, and streams are short enough to make room within seconds. */
export const targetPressure = 0.5;

/** The same for an increase while the chosen chains seem to be full: the estimate of room is coarse, observations confirm it. */
export const targetPressureWithoutRoom = 0.35;

/** How much higher than what ran lately the limit may be, as a factor: in the second of a loss no more than twice the usual number may start. */
export const maxHeadroom = 2;

/** Half-life of the most that ran lately; above the usual time between the bursts of a few callers. */
export const peakHalfLifeMs = 2_500;

/** What remains of an unused limit after a round, as a factor. */
export const unusedDecreaseFactor = 0.9;

/** Share of the runs of a round that may be slow without an effect: one slow stream, or the streams of one crashed server, say little of the service. */
export const slowShare = 0.25;

/** Pressure that stands for a refusal by a server, a broken run or a run that ended at its deadline. */
export const failurePressure = 1.5;

/** Largest decrease of one round, as the factor that remains. */
export const maxDecreaseFactor = 0.5;

/** Increase of a round: at most this share of the limit, which is nine times the limit in a second, and at least this number of calls. */
export const increaseShare = 0.25;
export const increaseStep = 1;

/** Runs beyond what fits by the pressure; gateways that run few gain on those that run many. */
export const additiveStep = 0.25;

/** Longest pause of a stream if its route names none; callers give up after two seconds. */
export const defaultPauseTargetMs = 1_000;

/** Smoothing of durations, as the weight of a new one; about the last ten calls of a gateway. */
export const durationSmoothing = 0.15;

/** Duration and time to the first event before any was observed: a usual stream of the users' deployments. */
export const firstDurationMs = 700;
export const firstAnswerMs = 100;

/** Half-life of the rates of arrivals and starts; a burst lasts for some seconds. */
export const rateHalfLifeMs = 2_000;

/** Margin of a forecast, as a factor: durations vary by about a third. */
export const forecastMargin = 1.3;

/** A late answer counts for a tenth to a third of one on time. */
export const lateValue = 0.2;

/** A call waits to be late only while arrivals take less than this share of the places: otherwise it takes the place of one that is on time. */
export const lateLoadShare = 0.8;

/** Longest wait of a call that is going to be late; callers do better to return. */
export const maxLateWaitMs = 2_000;

/** Share of the served tokens that each rank below the most urgent one keeps, of its own share of the demand: less than it gets by its demand, so that no rank overtakes a more urgent one. */
export const rankFloor = 0.1;

/** An account is large from this multiple of the mean of the active accounts on. */
export const largeAccountFactor = 2;

/** Share of the places that is kept from large accounts at most, so that none starves. */
export const maxAccountReserve = 0.8;

/** Share of the places that is kept from a rank for more urgent ones at most. */
export const maxRankReserve = 0.9;

/** Half-life of what an account asked for. */
export const accountHalfLifeMs = 5_000;

/** How long after a call was held back places are kept for small accounts and urgent ranks. */
export const reserveTimeMs = 1_000;

/** Pressure below which no places are kept; the limit rises then. */
export const scarcePressure = 0.35;

/** A rank may wait only if this multiple of its served share is below that of each more urgent rank that is not fully served. */
export const rankMargin = 1.1;

/** From this served share on a rank counts as fully served. */
export const fullyServedShare = 0.9;

/** Bounds of a queue: a few seconds of what one gateway can be asked for. */
export const maxWaitingCalls = 256;
export const maxWaitingBytes = 8 * 1_024 * 1_024;

/** Longest age of a waiting call that has no events yet. */
export const maxWaitMs = 4_000;

/** Longest wait of a broken stream; callers give up after a pause of two seconds. */
export const maxResumeWaitMs = 1_500;

/** Shortest time without a chain that is assumed: a refused call or a repaired chain takes about as long. */
export const minOutageMs = 100;

/** Interval in which calls without a chain are routed again if no event says that one came: the end of a refusal is no event. */
export const chainCheckMs = 200;

/** Calls that are routed again in such an interval; a choice of servers takes some milliseconds. */
export const callsPerChainCheck = 2;

/** `Retry-After` of a refused call, at least and at most. */
export const minReturnMs = 200;
export const maxReturnMs = 3_000;

/** Largest share of its time left that a caller may be told to wait; beyond a third callers ignore it. */
export const maxReturnShare = 1 / 3;

/** Jitter of a time to return, as a share in both directions. */
export const returnJitter = 0.25;

/** How much later each less urgent rank returns, as a share of its time. */
export const rankReturnShare = 0.25;

/** How much earlier than told a call may come back and still count as returned. */
export const returnToleranceMs = 50;

/** Refused calls that are remembered until they return. */
export const maxRefusedCalls = 1_024;

/** Work of a call against the usual one that counts at most when it is compared, in both directions: the largest calls must be served at least half as often. */
export const maxWorkFactor = 2;

/** A call of more than this multiple of the usual work of its kind is a large one. */
export const largeFactor = 1.5;

/** Large calls lose their disadvantage when they are served less often than this share of all; above the half that they are promised. */
export const largeFloor = 0.7;

/** Weight of an account whose calls were served least, against one whose calls were all served. */
export const accountFloorFactor = 2;

/** Half-life of what was offered and served by size and account. */
export const servedHalfLifeMs = 10_000;

/** Accounts whose service is remembered. */
export const maxTrackedAccounts = 512;
