/** Timeouts, intervals and limits of a gateway, in milliseconds unless the name says otherwise. */

/** Work without a poll of the sockets after which a turn of the loop is logged. */
export const longTurnMs = 100;

/** Shortest time between two lines about long turns. */
export const turnLogIntervalMs = 1_000;

/** Timeout of connecting to a backend server; three round trips between regions. */
export const connectTimeoutMs = 300;

/** Time without a first event after which a chain is checked for a stall; longer than the target for that event. */
export const firstStallCheckMs = 700;

/** Time without an event in a stream after which its chain is checked for a stall; a few event intervals, doubled after each check. */
export const streamStallCheckMs = 300;

/** Upper bound of `streamStallCheckMs` when doubled; half of the shortest gap after which callers give up. */
export const maxStallCheckMs = 1_000;

/** Timeout of reading a server's report, about a stalled chain or as a probe. */
export const reportTimeoutMs = 300;

/** Delay before a call without a usable server is routed again. */
export const routeRetryDelayMs = 40;

/** Share of its latency target that a call may wait for a server; a longer wait would delay the refusal. */
export const maxWaitShare = 0.12;

/** How long a broken stream waits for a server; callers give up after a gap of two seconds. */
export const maxResumeWaitMs = 1_500;

/** `Retry-After` of a refused call; about the time that a new layer placement takes. */
export const retryAfterMs = 1_000;

/** Longest `Retry-After` of a call that the limits of servers hold back; other gateways may have room sooner. */
export const maxIntakeRetryMs = 2_000;

/** `Retry-After` while there is no configuration; about the time of a read of the store. */
export const notReadyRetryAfterMs = 300;

/** `Retry-After` of a gateway that cannot reach the store; time for a new connection to another gateway. */
export const staleRetryAfterMs = 100;

/** `Retry-After` of an overloaded gateway; time for a new connection to another gateway. */
export const overdueRetryAfterMs = 100;

/** `Retry-After` of a stopping gateway, so that callers go to another one at once. */
export const stoppingRetryAfterMs = 50;

/** Longest long poll of the configuration; a dead connection is noticed only after it. */
export const maxConfigPollMs = 1_500;

/** Limit of the long poll as a share of the time after which a revoked key must fail; two reads fit into the age up to which a configuration is used. */
export const configPollShare = 0.3;

/** Interval between reads of the server list; several reads fit into the time in which calls to a leaving server must stop. */
export const serverReadIntervalMs = 800;

/** Timeout of a request to the store, on top of the time that a long poll waits. */
export const storeTimeoutMs = 700;

/** Delay before a table is read again after a failed read. */
export const storeRetryDelayMs = 250;

/** Time after a store outage within which the entries of live servers are back in the list. */
export const missingServerGraceMs = 2_500;

/** Interval at which a server whose entry cannot be read is asked for its health. */
export const doubtedServerCheckMs = 5_000;

/** Timeout of asking a server for its health. */
export const healthTimeoutMs = 300;

/** Delay before a server that did not confirm that it is alive is asked again. */
export const healthRetryMs = 250;

/** Servers that are asked for their health at the same time, at most. */
export const maxHealthRequests = 16;

/** Servers that left and are remembered at most. */
export const maxDepartedServers = 4_096;

/** Longest time for which a server that turned a call away gets none. */
export const maxClosedMs = 3_600_000;

/** How long a server that refused a call is avoided; a few of its calls end in that time. */
export const refusalCooldownMs = 250;

/** A heartbeat that is read at least this long after its server became unreachable was sent after that moment; one read of the list plus network delay. */
export const heartbeatDelayMs = 1_000;

/** Time after which an unreachable server is tried again even if no heartbeat was read. */
export const unreachableRetryMs = 6_000;

/** Interval between two checks of a suspected server; many calls get the same refusal at once. */
export const checkIntervalMs = 1_000;

/** Silence after which an attempt moves away from a silent server; two usual pauses between events. */
export const unresponsiveSilenceMs = 250;

/** Time after which a silent server counts as lost; sound ones pause for a second or so. */
export const lossSilenceMs = 2_000;

/** How long a server counts as in trouble after a silence; the servers of an overloaded fleet fall silent in turn. */
export const recentTroubleMs = 1_000;

/** Time after which placement plans without a silent server; loading its layers elsewhere takes longer than a pause. */
export const placementSilenceMs = 800;

/** Timeout of each probe of a server that is silent already. */
export const watchTimeoutMs = 600;

/** Time after which a report shows that its server was silent until it sent it; a sound server takes some milliseconds. */
export const slowReportMs = 50;

/** Pause between two probes of a silent server; a probe may fail at once. */
export const watchPauseMs = 50;

/** Silence of a plain server that a call waits for before it runs elsewhere, if its deadline allows; most pauses are shorter. */
export const maxPatienceMs = 1_500;

/** Delay before a call that waits for silent servers is routed again; the end of a silence routes it at once. */
export const silentRetryDelayMs = 200;

/** Silence of a stream of a plain server after which it is checked; the check ends within `maxStallCheckMs`. */
export const plainStreamCheckMs = 700;

/** Share of the heartbeat interval by which a heartbeat may be late before its server is probed. */
export const heartbeatLateShare = 0.25;

/** First suspension of a server; doubles with each consecutive one. */
export const firstSuspensionMs = 1_000;

/** Longest suspension of a server. */
export const maxSuspensionMs = 4_000;

/** Consecutive errors after which a server is suspended. */
export const maxConsecutiveErrors = 3;

/** Interval between renewals of the leader lease. */
export const leaseRenewIntervalMs = 1_000;

/** Requested duration of the leader lease; three renewal intervals. */
export const leaderLeaseMs = 3_000;

/** Interval between two runs of layer placement. */
export const placementIntervalMs = 400;

/** The first placement waits until no server has joined for this long. */
export const joinQuietPeriodMs = 1_200;

/** The first placement waits no longer than this after the start of the process. */
export const maxFirstPlacementWaitMs = 6_500;

/** Time after which an accepted order counts as lost if its server has not announced the layers. */
export const layerLoadTimeoutMs = 8_000;

/** How long placement still plans with the layers of an order that was not answered. */
export const failedOrderTimeoutMs = 700;

/** How long a server that refused one order gets no new one; others can take its place meanwhile. */
export const firstOrderCooldownMs = 1_000;

/** Upper bound of `firstOrderCooldownMs` when doubled; as long as an accepted order may take. */
export const maxOrderCooldownMs = 8_000;

/** Timeout of sending an order to a server. */
export const orderTimeoutMs = 800;

/** Timeout of moving a running request to another chain; a caller notices a longer pause. */
export const chainUpdateTimeoutMs = 300;

/** How often one attempt may be moved to another chain; a chain that loses more servers is not worth repairing. */
export const maxChainRepairs = 3;

/** Delay until a stopping gateway closes its callers' connections; the load balancer has noticed the shutdown by then. */
export const closeConnectionsAfterMs = 2_500;

/** How much longer than its limit a caller's connection may be idle; a call that was sent in time may be on its way. */
export const idleReserveMs = 1_000;

/** Interval at which Node checks for callers that exceed the header timeout. */
export const headCheckMs = 500;

/** Longest time that a half-closed connection waits for its caller to close it. */
export const lingerTimeoutMs = 1_000;

/** Share of the reserve for the exit in which streams that have begun go on; the events that were sent before reach their callers in the rest. */
export const lastStreamsShare = 1 / 2;

/** Share of the reserve for the exit after which the process ends; the rest is for a late event loop. */
export const lastAnswersShare = 2 / 3;

/** Time before the drain timeout by which a call that a stopping gateway takes must end. */
export const drainEndReserveMs = 150;

/**
 * While the load balancer may still choose the stopping gateway, a repeatable call is
 * taken if more than this share of calls like it is known to end in time; a refused
 * caller may find no other gateway.
 */
export const minShareBeforeNotice = 0.55;

/** How a stopping gateway forecasts the durations of calls. */
export const forecastSettings = {
  windowMs: 60_000,
  maxKinds: 512,
  minSamples: 8,
  minSlowestSamples: 30,
  sizeExponent: 0.6,
  factor: 1.1,
  extraMs: 150,
} as const;

/** How long a starting gateway waits for an address; a process before it may take its whole grace period to end. */
export const maxAddressWaitMs = 30_000;

/** Delay before a gateway tries an address again. */
export const addressRetryMs = 100;

/** Longest part of the platform's grace period that is reserved for the exit of the process. */
export const maxExitReserveMs = 600;

/** Largest share of the grace period that is reserved for the exit; open calls may be cut in its last sixth only. */
export const maxExitReserveShare = 1 / 8;

/** Largest response that is buffered before it is forwarded, in bytes. */
export const maxBufferedResponseBytes = 16 * 1_024 * 1_024;

/** Memory of the VM if the settings do not state it; the smallest of the users' deployments has about as much. */
export const defaultMemoryMebibytes = 256;

/** `Retry-After` of a call that finds no room in the buffers; time for a new connection to another gateway. */
export const noRoomRetryAfterMs = 100;

/** Largest partial event of a stream that is buffered, in bytes; an event holds a few tokens. */
export const maxEventBytes = 256 * 1_024;

/** Time within which an event that a server began must end; a lost packet is sent again sooner, and callers give up after two seconds. */
export const maxPartialEventMs = 800;

/** Longest idle time of a connection to a backend server. */
export const backendIdleMs = 4_000;

/** Longest idle time of a connection for a server's reports; the server may close it earlier. */
export const controlIdleMs = 30_000;

/** Longest idle time of a connection that a non-repeatable call re-uses; the server may have closed an older one. */
export const recentConnectionMs = 1_000;

/** Tokens assumed for a call that does not state its prompt's length. */
export const defaultCallTokens = 1_000;

/** Longest time that a gateway holds another one's request for news; above the interval between two reads of the store. */
export const maxNewsHoldMs = 1_200;

/** Timeout of asking another gateway for news; a direct read after it still confirms the keys in time. */
export const newsTimeoutMs = 1_500;

/** Age of a confirmation up to which it is passed on; the asking gateway can then still read the store in time. */
export const maxNewsAgeMs = 2_000;

/** Longest long poll of the configuration at a gateway that reads for others. */
export const maxRelayPollMs = 900;

/** How long a gateway that failed to pass news on is not asked. */
export const relaySuspicionMs = 5_000;

/** Time without a request after which a gateway no longer reads for others. */
export const relayTimeoutMs = 5_000;

/** Interval between reads of the list of gateways, which changes when VMs are replaced. */
export const peerReadIntervalMs = 5_000;

/** Age up to which the list of gateways is passed on; several intervals. */
export const maxPeersAgeMs = 15_000;

/** Delay before this gateway's record is written again after a failure. */
export const peerWriteRetryMs = 1_000;

/** Parts of prompts that a gateway tracks at most for each service. */
export const maxTrackedSuspects = 512;

/** Whole calls that a gateway tracks at most for each service; a crash makes suspects of all calls that its server had begun. */
export const maxTrackedCalls = 256;

/** Answered calls that a gateway remembers at most for each service. */
export const maxAnsweredCalls = 1_024;

/** How long a call is remembered as answered before a crash. */
export const answeredLifetimeMs = 60_000;

/** Largest body of a call that is remembered as answered, in bytes; its digest takes some microseconds. */
export const maxRememberedBodyBytes = 16_384;

/** Parts of one call that are considered at most. */
export const maxPartsPerCall = 32;

/** Crashes remembered at most for each suspect. */
export const maxSightingsPerSuspect = 64;

/** Crashes remembered at most for each service. */
export const maxKnownCrashes = 256;

/** Longest id of a part, call or server that is tracked, in characters. */
export const maxTrackedIdLength = 96;

/** Resolution of the times at which a service wrote answers. */
export const servingResolutionMs = 50;

/** How long a suspect is remembered as answered; news reach the other gateways sooner. */
export const clearedLifetimeMs = 30_000;

/** How long a trial may stay without a result; the first events of an answer come sooner. */
export const trialTimeoutMs = 10_000;

/** How long a suspect that no call asks for is remembered when its next trial is due, at least. */
export const trialWaitMs = 600_000;

/** Time after a supposed crash from which an answer of the server shows that it went on; one that was on its way comes sooner. */
export const disproofDelayMs = 250;

/** Delay after a server closed a connection before it is found out whether it accepts others. */
export const crashCheckDelayMs = 20;

/** Longest wait of a call until it is known whether its server has crashed. */
export const maxCheckWaitMs = 200;

/** Time for which a living server keeps a connection open that it has accepted; a reset follows the accept at once. */
export const keptOpenMs = 25;

/** Usual time until a server that crashed is back; `Retry-After` of calls that wait for it. */
export const usualRestartMs = 3_500;

/** Shortest `Retry-After` of a call with a suspect. */
export const minSuspectRetryAfterMs = 300;

/** Longest `Retry-After` of a refused call. */
export const maxSuspectRetryAfterMs = 10_000;

/** Log lines with one message about suspects at most in each `suspectLogWindowMs`. */
export const maxSuspectLogLines = 60;
export const suspectLogWindowMs = 60_000;

/** Log lines about faults of one configuration at most; the command that checks a file lists all. */
export const maxFindingLines = 20;
