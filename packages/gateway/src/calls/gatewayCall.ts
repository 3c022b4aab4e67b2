/** A call in progress; context of the chart `gatewayCall`. */
import type { ChartInstance, ChartTimers } from '@lycheetally/charts';
import type { Milliseconds, ComponentLogger } from '@lycheetally/common';
import type {
  BackendService,
  BufferMemory,
  DurationForecast,
  GatewayConfiguration,
  IntakeOrder,
  KeyHolder,
  Moment,
  NoteEnd,
  RequestView,
  RetryPolicy,
  RouteRule,
} from '@lycheetally/decisions';
import type {
  AttemptMachine,
  GatewayAttempt,
} from '../attempt/gatewayAttempt.js';
import type { BackendPort } from '../backendPort.js';
import type { CallBalance } from '../balance/callBalance.js';
import type { CallFormat } from '../callFormat.js';
import {
  describeUnread,
  type CallerExchange,
  type ReceivedCall,
} from '../callers/callerPort.js';
import type { DrainForecast } from './drainAdmission.js';
import type { DrainPeriod } from './drainPeriod.js';
import type { EventStream } from '../attempt/eventStream.js';
import type { GatewayMetrics } from '../gatewayMetrics.js';
import { CallIdentity } from '../suspects/callIdentity.js';
import type { SuspectTracker } from '../suspects/suspectTracker.js';
import type { ServerControlPort } from '../ports.js';
import type { ServerRegistry } from '../servers/serverRegistry.js';
import type { ServerLossHandler } from '../servers/serverLossHandler.js';
import type { CallPlace } from '../waiting/callPlace.js';
import type { CallPlaces } from '../waiting/callPlaces.js';
import type { WaitingCalls } from './waitingCalls.js';

export interface CallEvent {
  readonly type:
    | 'ADMITTED'
    | 'REFUSED'
    | 'ROUTED'
    | 'UNROUTABLE'
    | 'QUEUED'
    | 'GRANTED'
    | 'GAVE_WAY'
    | 'SUSPECT_REFUSED'
    | 'ATTEMPT_COMPLETE'
    | 'ATTEMPT_NOT_RUN'
    | 'ATTEMPT_ERROR'
    | 'ATTEMPT_BROKEN'
    | 'HEDGE'
    | 'HEDGE_DECIDED'
    | 'NEVER_RAN'
    | 'MAY_HAVE_RUN'
    | 'RESPONSE_STARTED'
    | 'SERVER_RETURNED'
    | 'CALLER_DISCONNECTED'
    | 'TIME_OVER'
    | 'STOPPING';
  /** The fault, in an event that reports a refusal or a failure. */
  readonly fault?: CallFault | undefined;
  /** The attempt, in an event that reports its end. */
  readonly attempt?: GatewayAttempt | undefined;
}

/** Why a call was refused or an attempt did not complete it. */
export interface CallFault {
  readonly status: number;
  readonly kind: string;
  readonly message: string;
  readonly retryAfterMs?: Milliseconds | undefined;
}

/** Services that all calls of a gateway share. */
export interface CallServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  readonly metrics: GatewayMetrics;
  readonly format: CallFormat;
  readonly backend: BackendPort;
  readonly control: ServerControlPort;
  readonly balance: CallBalance;
  readonly retryPolicy: RetryPolicy;
  readonly serverRegistry: ServerRegistry;
  readonly lossHandler: ServerLossHandler;
  readonly attemptMachine: AttemptMachine;
  readonly bufferMemory: BufferMemory<GatewayAttempt>;
  readonly drainPeriod: DrainPeriod;
  readonly durationForecast: DurationForecast;
  readonly suspects: SuspectTracker;
  readonly waitingCalls: WaitingCalls;
  readonly places: CallPlaces;
  readonly intakeOrder: IntakeOrder;
  readonly homeDomain: string;
  /** Time after which a revoked key must fail. */
  readonly revokeTimeoutMs: Milliseconds;
  getConfiguration(): GatewayConfiguration | undefined;
  /** When the store last confirmed that the configuration is the newest. */
  getConfirmedAt(): Moment | undefined;
  getMoment(): Moment;
  /** Returns the most that the view of the sockets can be behind. */
  measureViewAge(now: Milliseconds): Milliseconds;
  /** Whether the drain timeout has passed and open calls are being cancelled. */
  isCancellingCalls(): boolean;
  postCompletion(run: (now: Milliseconds) => void): void;
  handleCallEnded(call: GatewayCall): void;
}

/** Facts about a call that admission determines. */
export interface AdmittedCall {
  readonly route: RouteRule;
  readonly service: BackendService;
  readonly holder: KeyHolder | undefined;
  readonly urgency: number;
  readonly isRepeatable: boolean;
  /** The earlier of the caller's deadline and the route's time limit. */
  readonly deadlineAt: Milliseconds;
  readonly tokens: number;
  readonly configVersion: number;
}

export class GatewayCall {
  instance: ChartInstance<GatewayCall, CallEvent> | undefined;
  admitted: AdmittedCall | undefined;
  attempt: GatewayAttempt | undefined;
  /** Its place in the queue of its service; absent if calls of the service don't wait for one. */
  place: CallPlace | undefined;
  /** A second run beside the silent `attempt`, until one of them answers or ends. */
  hedge: GatewayAttempt | undefined;
  /** The one of both runs that answers; known before the loop cancels the other. */
  answeredBy: GatewayAttempt | undefined;
  /** When the gateway saw that its caller has left. */
  leftAt: Milliseconds | undefined;
  /** Attempts that were started. */
  attempts = 0;
  /** Attempts that ran or may have run. */
  runs = 0;
  /** When data for this call was last received from a server. */
  lastActivityAt: Milliseconds = 0;
  /** Whether a server has begun to stream an answer, of which the caller may have nothing yet. */
  hasBegunStream = false;
  /** Whether the head of a streamed response was sent to the caller. */
  hasStartedResponse = false;
  /** Id of the server whose head the caller of a streamed response has. */
  headFrom: string | undefined;
  /** When the first byte of a streamed response was sent to the caller. */
  firstByteAt: Milliseconds | undefined;
  /** Longest pause between two events that were sent to the caller. */
  longestPauseMs: Milliseconds = 0;
  /** Longest time without a byte of a server, over all attempts, also before the first byte. */
  longestSilenceMs: Milliseconds = 0;
  fault: CallFault | undefined;
  /** Set when a stopping gateway decided whether to take the call or to retry it. */
  drainForecast: DrainForecast | undefined;
  /** Ends the observation of how long the call is open. */
  noteEnd: NoteEnd | undefined;
  /** Events of a streamed response as the caller has them, over all attempts. */
  events: EventStream | undefined;
  /** Id of the event after which a run ended in order, at a server that was gone then. */
  endedAfter: string | undefined;
  /** Events that servers sent for this call, over all attempts, each once. */
  eventsReceived = 0;
  /** Whether calls like it are refused, and this one finds out if they still crash servers. */
  isTrial = false;
  /** How long the limits of servers hold the call back, when it last found no server. */
  intakeWaitMs: Milliseconds = 0;
  /** Since when the call is kept from the last living server, as those before it may have crashed. */
  heldSince: Milliseconds | undefined;
  /** When the silence began for which its last attempt was given up. */
  movedSince: Milliseconds = -Infinity;
  /** Whether the call, when it last found no server, waits for silent ones that may only pause. */
  isWaitingForSilent = false;
  /** Addresses that this call was sent to. */
  readonly sentTo = new Set<string>();
  /** Servers that refused or failed this call. */
  readonly avoided = new Set<string>();

  private knownIdentity: CallIdentity | undefined;
  private eventsSentAt: Milliseconds | undefined;

  constructor(
    readonly services: CallServices,
    readonly received: ReceivedCall,
    readonly caller: CallerExchange,
    /** When the gateway was about to take it. */
    readonly queuedAt: Milliseconds,
    /** When the event loop took it. */
    private readonly takenAt: Milliseconds,
  ) {}

  get requestId(): string {
    return this.received.fields.requestId ?? '';
  }

  /** What tells that the same request comes again; known once the call is admitted. */
  get identity(): CallIdentity {
    const { method, target, fields, body } = this.received;
    this.knownIdentity ??= new CallIdentity({
      method,
      target,
      account: this.admitted?.holder?.account ?? '',
      parts: fields.promptParts,
      body,
    });
    return this.knownIdentity;
  }

  /** How long it may have waited unread and where, how long in the queue of the loop, and how long its caller's end waited there. */
  describeWaits(now: Milliseconds): Readonly<Record<string, number>> {
    const { received, queuedAt, takenAt, leftAt } = this;
    return {
      ...describeUnread(received),
      queuedMs: Math.round(takenAt - queuedAt),
      leftMs: leftAt === undefined ? -1 : Math.round(now - leftAt),
    };
  }

  /** Records that events were sent to the caller. */
  noteEventsSent(now: Milliseconds): void {
    if (this.eventsSentAt !== undefined) {
      this.longestPauseMs = Math.max(
        this.longestPauseMs,
        now - this.eventsSentAt,
      );
    }
    this.eventsSentAt = now;
  }

  /** The call in the form that the retry policy takes. */
  toRequestView(): RequestView {
    const { admitted } = this;
    return {
      requestId: this.requestId,
      account: admitted?.holder?.account ?? '',
      rank: String(admitted?.urgency ?? 0),
      service: admitted?.service.name ?? '',
      deadlineAt: admitted?.deadlineAt ?? 0,
      isRepeatable: admitted?.isRepeatable ?? false,
      attempts: this.attempts,
      avoided: [...this.avoided],
    };
  }
}
