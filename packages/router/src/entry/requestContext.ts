/** Context of a caller's request at an entry, and the events of its state chart. */
import type {
  ChartInstance,
  ChartMachine,
  ChartTimers,
} from '@lycheetally/charts';
import type {
  Milliseconds,
  ComponentLogger,
  TypedError,
} from '@lycheetally/common';
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
import { WorkIdentity } from './suspects/workIdentity.js';
import type { WorkSuspects } from './suspects/workSuspects.js';

/** Policies that an entry applies. */
export interface EntryPolicies {
  readonly admission: AdmissionPolicy;
  readonly routing: RoutingPolicy;
  readonly retry: RetryPolicy;
}

/** A call that was validated against the configuration. */
export interface CallerRequest {
  readonly requestId: string;
  readonly callerRequestId: string | undefined;
  readonly account: string;
  readonly rank: string;
  readonly urgency: number;
  /** Minimum share of the served cost that the rank keeps while its work waits, from 0 to 1. */
  readonly rankFloor: number;
  /** Target of the rank for the first token or the answer, in milliseconds. */
  readonly targetMs: Milliseconds;
  readonly accountWeight: number;
  /** Estimated cost in token units. */
  readonly cost: number;
  /** Estimated tokens of the prompt; 0 for a plain call. */
  readonly promptTokens: number;
  readonly service: ServiceRule;
  readonly receivedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  /** Whether the request may be run again after it may have run. */
  readonly isRepeatable: boolean;
  readonly idempotencyKey: string | undefined;
  readonly model: ModelWork | undefined;
  readonly plain: PlainWork | undefined;
}

/** Events of the chart `request`. */
export type RequestEvent =
  | { readonly type: 'CALLER_DISCONNECTED' | 'STOPPING' }
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

/** Services that an entry provides to its requests. */
export interface RequestServices {
  readonly entryId: string;
  readonly timers: ChartTimers;
  readonly events: EventLog;
  readonly log: ComponentLogger;
  readonly policies: EntryPolicies;
  readonly attemptMachine: ChartMachine<AttemptContext, AttemptEvent>;
  readonly claims: EntryClaims;
  readonly suspects: WorkSuspects;
  getConfiguration(): RouterConfiguration | undefined;
  listServers(service: string): readonly ServerView[];
  /** Sends to the agent of a server; returns false when that incarnation of it is not connected. */
  sendToServer(server: ServerView, message: PeerMessage): boolean;
  /** Adjusts the number of this entry's outstanding attempts at each server of a route. */
  updateOutstanding(route: Route, change: 1 | -1): void;
  /** Appends the record of an ended request to the ledger. */
  recordOutcome(record: NewOutcomeRecord): void;
  handleRequestEnded(request: RequestContext, now: Milliseconds): void;
}

export interface RequestContext {
  readonly services: RequestServices;
  readonly request: CallerRequest;
  readonly exchange: CallerExchange;
  readonly identity: WorkIdentity;
  /** Whether the request tries work that is refused otherwise. */
  isTrial: boolean;
  instance: RequestInstance | undefined;
  route: Route | undefined;
  attempt: AttemptContext | undefined;
  /** The claim of the latest attempt; only requests with an idempotency key have one. */
  claim: ClaimAttemptContext | undefined;
  attemptCount: number;
  /** Outcomes of the attempts that have ended, in order. */
  attemptOutcomes: Outcome[];
  /** Ids of the servers at which attempts failed; routing uses them only as a last resort. */
  avoided: string[];
  error: TypedError | undefined;
  isCancelled: boolean;
  /** Ids of the tokens that were sent to the caller, in order. */
  delivered: number[];
  /** When the first token was sent to the caller. */
  firstTokenAt: Milliseconds | undefined;
  /** Position of the last delivered token; `undefined` before the first one. */
  lastPosition: number | undefined;
  /** Whether the last delivered token ends the answer. */
  hasLastToken: boolean;
  end: Finished | undefined;
}

/** Returns the view of a request that policies decide on. */
export const createRequestView = (context: RequestContext): RequestView => ({
  requestId: context.request.requestId,
  account: context.request.account,
  rank: context.request.rank,
  service: context.request.service.name,
  deadlineAt: context.request.deadlineAt,
  isRepeatable: context.request.isRepeatable,
  attempts: context.attemptCount,
  avoided: context.avoided,
  urgency: context.request.urgency,
  targetMs: context.request.targetMs,
  accountWeight: context.request.accountWeight,
  cost: context.request.cost,
  promptTokens: context.request.promptTokens,
  maxTokens: context.request.model?.maxTokens,
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
  identity: new WorkIdentity(request),
  isTrial: false,
  instance: undefined,
  route: undefined,
  attempt: undefined,
  claim: undefined,
  attemptCount: 0,
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
