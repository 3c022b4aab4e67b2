/** A call under way, and what its charts are bound to. */
import type { ChartInstance, ChartTimers } from '@lycheetally/charts';
import type { Milliseconds, PartLogger } from '@lycheetally/common';
import type {
  BackendService,
  ChainPolicy,
  GatewayConfiguration,
  KeyHolder,
  Moment,
  RequestView,
  RetryPolicy,
  RouteRule,
} from '@lycheetally/decisions';
import type { AttemptMachine, GatewayAttempt } from './gatewayAttempt.js';
import type { BackendPort } from './backendPort.js';
import type { CallFormat } from './callFormat.js';
import type { CallerExchange, ReceivedCall } from './callerPort.js';
import type { EventStream } from './eventStream.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { ServerControlPort } from './ports.js';
import type { ServerBook } from './serverBook.js';
import type { ServerLosses } from './serverLosses.js';

export interface CallEvent {
  readonly type:
    | 'ADMITTED'
    | 'REFUSED'
    | 'ROUTED'
    | 'UNROUTABLE'
    | 'ATTEMPT_COMPLETE'
    | 'ATTEMPT_NOT_RUN'
    | 'ATTEMPT_ERROR'
    | 'ATTEMPT_BROKEN'
    | 'NEVER_RAN'
    | 'MAY_HAVE_RUN'
    | 'BEGUN'
    | 'CALLER_GONE'
    | 'STOPPING';
  /** Why, where the event is not the expected one. */
  readonly reason?: CallFault | undefined;
}

/** Why a call was refused or an attempt did not complete it. */
export interface CallFault {
  readonly status: number;
  readonly kind: string;
  readonly message: string;
  readonly retryAfterMs?: Milliseconds | undefined;
}

/** What every call of a gateway uses. */
export interface CallServices {
  readonly timers: ChartTimers;
  readonly log: PartLogger;
  readonly metrics: GatewayMetrics;
  readonly format: CallFormat;
  readonly backend: BackendPort;
  readonly control: ServerControlPort;
  readonly chain: ChainPolicy;
  readonly retry: RetryPolicy;
  readonly book: ServerBook;
  readonly losses: ServerLosses;
  readonly attempts: AttemptMachine;
  readonly homeDomain: string;
  /** A key may be used until its revocation is this old. */
  readonly revokeBoundMs: Milliseconds;
  getConfiguration(): GatewayConfiguration | undefined;
  /** When the store last proved that the configuration is the newest. */
  getProvenAt(): Moment | undefined;
  getMoment(): Moment;
  /** Says whether the process takes no more calls. */
  isLeaving(now: Milliseconds): boolean;
  /** Says whether open calls are being ended. */
  isCutting(): boolean;
  postCompletion(run: (now: Milliseconds) => void): void;
  handleCallEnded(call: GatewayCall): void;
}

/** What admission found out about a call. */
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
  /** Attempts that reached a server's connection. */
  attempts = 0;
  /** Attempts that ran or may have run. */
  runs = 0;
  /** When a server was last heard of for this call. */
  lastHeardAt: Milliseconds = 0;
  /** The head of an answer went to the caller. */
  hasBegun = false;
  /** When the first byte of an answer went to the caller. */
  firstByteAt: Milliseconds | undefined;
  /** The longest pause between two events that went to the caller. */
  longestPauseMs: Milliseconds = 0;
  fault: CallFault | undefined;
  /** Events of a stream, over all attempts. */
  events: EventStream | undefined;
  /** Servers that refused or failed this call. */
  readonly avoided = new Set<string>();

  private passedAt: Milliseconds | undefined;

  constructor(
    readonly services: CallServices,
    readonly received: ReceivedCall,
    readonly caller: CallerExchange,
  ) {}

  get requestId(): string {
    return this.received.fields.requestId ?? '';
  }

  /** Notes that events went to the caller. */
  notePassed(now: Milliseconds): void {
    if (this.passedAt !== undefined) {
      this.longestPauseMs = Math.max(this.longestPauseMs, now - this.passedAt);
    }
    this.passedAt = now;
  }

  /** The call as the retry rules see it. */
  view(): RequestView {
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
