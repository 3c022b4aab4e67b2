/** A caller's request at an entry: its context and the events of its chart. */
import type {
  ChartInstance,
  ChartMachine,
  ChartTimers,
} from '@lycheetally/charts';
import type { Milliseconds, PartLogger, TypedError } from '@lycheetally/common';
import type {
  AdmissionPolicy,
  Outcome,
  RequestView,
  RetryPolicy,
  Route,
  RouterConfiguration,
  RoutingPolicy,
  ServerView,
  ServiceRule,
} from '@lycheetally/decisions';
import type {
  Finished,
  ModelWork,
  PeerMessage,
  PlainWork,
} from '@lycheetally/protocol';
import type { ClaimAttemptContext } from '../claims/claimContext.js';
import type { EntryClaims } from '../claims/entryClaims.js';
import type { EventLog } from '../eventLog.js';
import type { NewOutcomeRecord } from '../ledger/outcomeRecord.js';
import type { CallerExchange } from '../ports/callerExchange.js';
import type { AttemptContext, AttemptEvent } from './attemptContext.js';

/** The rules that an entry decides by. */
export interface EntryPolicies {
  readonly admission: AdmissionPolicy;
  readonly routing: RoutingPolicy;
  readonly retry: RetryPolicy;
}

/** A request that was checked against the configuration. */
export interface CallerRequest {
  readonly requestId: string;
  readonly callerRequestId: string | undefined;
  readonly account: string;
  readonly rank: string;
  readonly urgency: number;
  readonly service: ServiceRule;
  readonly receivedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  /** Says whether a run may be followed by another. */
  readonly isRepeatable: boolean;
  readonly idempotencyKey: string | undefined;
  readonly model: ModelWork | undefined;
  readonly plain: PlainWork | undefined;
}

/** Events of the chart `request`. */
export type RequestEvent =
  | { readonly type: 'CALLER_GONE' | 'STOPPING' }
  | { readonly type: 'NEVER_RAN' | 'RAN' | 'MAY_HAVE_RUN' }
  | {
      readonly type: 'ADMITTED' | 'ROUTED' | 'ATTEMPT_COMPLETE';
    }
  | { readonly type: 'CLAIM_WON' | 'CLAIM_COMPLETE' }
  | {
      readonly type:
        | 'REFUSED'
        | 'UNROUTABLE'
        | 'CLAIM_FAILED'
        | 'CLAIM_NOT_RUN'
        | 'CLAIM_UNKNOWN'
        | 'ATTEMPT_NOT_RUN'
        | 'ATTEMPT_FAILED'
        | 'ATTEMPT_UNKNOWN';
      readonly error: TypedError;
    };

export type RequestInstance = ChartInstance<RequestContext, RequestEvent>;

/** What requests need of their entry. */
export interface RequestServices {
  readonly entryId: string;
  readonly timers: ChartTimers;
  readonly events: EventLog;
  readonly log: PartLogger;
  readonly policies: EntryPolicies;
  readonly attempts: ChartMachine<AttemptContext, AttemptEvent>;
  readonly claims: EntryClaims;
  getConfiguration(): RouterConfiguration | undefined;
  listServers(service: string): readonly ServerView[];
  /** Sends to the agent of a server; returns false when that start of it can't be reached. */
  sendToServer(server: ServerView, message: PeerMessage): boolean;
  /** Counts work that this entry has at the servers of a route. */
  countOutstanding(route: Route, change: 1 | -1): void;
  /** Adds the record of a request that ended to the ledger. */
  recordOutcome(record: NewOutcomeRecord): void;
  handleRequestEnded(request: RequestContext, now: Milliseconds): void;
}

export interface RequestContext {
  readonly services: RequestServices;
  readonly request: CallerRequest;
  readonly exchange: CallerExchange;
  instance: RequestInstance | undefined;
  route: Route | undefined;
  attempt: AttemptContext | undefined;
  /** The claim of the latest attempt; only with an idempotency key. */
  claim: ClaimAttemptContext | undefined;
  attempts: number;
  /** How each attempt that has ended did end. */
  attemptOutcomes: Outcome[];
  avoided: string[];
  error: TypedError | undefined;
  isCancelled: boolean;
  /** Tokens that the caller was sent, in order. */
  delivered: number[];
  /** When the first token was sent to the caller. */
  firstTokenAt: Milliseconds | undefined;
  /** Position of the last delivered token; absent before the first one. */
  lastPosition: number | undefined;
  /** Says whether the last delivered token ends the answer. */
  hasLastToken: boolean;
  end: Finished | undefined;
}

/** Returns what decisions may know of a request. */
export const viewRequest = (context: RequestContext): RequestView => ({
  requestId: context.request.requestId,
  account: context.request.account,
  rank: context.request.rank,
  service: context.request.service.name,
  deadlineAt: context.request.deadlineAt,
  isRepeatable: context.request.isRepeatable,
  attempts: context.attempts,
  avoided: context.avoided,
});

/** Creates the context of a request. */
export const createRequestContext = (
  services: RequestServices,
  request: CallerRequest,
  exchange: CallerExchange,
): RequestContext => ({
  services,
  request,
  exchange,
  instance: undefined,
  route: undefined,
  attempt: undefined,
  claim: undefined,
  attempts: 0,
  attemptOutcomes: [],
  avoided: [],
  error: undefined,
  isCancelled: false,
  delivered: [],
  firstTokenAt: undefined,
  lastPosition: undefined,
  hasLastToken: false,
  end: undefined,
});
