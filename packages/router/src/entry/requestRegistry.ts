/** The open requests of an entry, from the arrival of a call to its outcome. */
import type { ChartMachine, ChartTimers } from '@lycheetally/charts';
import {
  Err,
  ErrorKind,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import {
  Outcome,
  emptyConfiguration,
  type RouterConfiguration,
} from '@lycheetally/decisions';
import type { AttemptRef, Hello, PeerMessage } from '@lycheetally/protocol';
import {
  createLeavingError,
  leavingRetryMs,
  type RefusedCall,
} from '../adapters/callersHttp.js';
import type { EventLog } from '../eventLog.js';
import type { OutcomeLedger } from '../ledger/outcomeLedger.js';
import { createRefusalRecord } from '../ledger/createOutcomeRecord.js';
import type { CallerCall, CallerExchange } from '../ports/callerExchange.js';
import { acceptCall, findAccount } from './acceptCall.js';
import {
  sendConnectionEvent,
  type ConnectionEventType,
} from './attemptConnections.js';
import { toAttemptEvent } from './attemptMessages.js';
import {
  createRequestContext,
  type CallerRequest,
  type RequestContext,
  type RequestEvent,
  type RequestServices,
} from './requestContext.js';

/** Services that the entry provides to the registry. */
export interface RequestRegistryServices {
  /** Prefix of every request id; unique to this start of the process. */
  readonly incarnation: string;
  readonly machine: ChartMachine<RequestContext, RequestEvent>;
  readonly timers: ChartTimers;
  readonly events: EventLog;
  readonly ledger: Pick<OutcomeLedger, 'append'>;
  getConfiguration(): RouterConfiguration | undefined;
  /** Whether the process is stopping; every call that arrives is then refused. */
  isStopping(): boolean;
  /** Returns the services that requests use. */
  getRequestServices(): RequestServices;
}

export class RequestRegistry {
  private readonly byId = new Map<string, RequestContext>();
  private readonly byExchange = new Map<CallerExchange, RequestContext>();
  private requestCount = 0;

  constructor(private readonly services: RequestRegistryServices) {}

  get size(): number {
    return this.byId.size;
  }

  find(requestId: string): RequestContext | undefined {
    return this.byId.get(requestId);
  }

  /** Starts a request for a call, or refuses the call with the outcome `not-run`. */
  receiveCall(
    call: CallerCall,
    exchange: CallerExchange,
    now: Milliseconds,
  ): void {
    const requestId = this.createRequestId();
    exchange.handleAccepted(requestId);
    // The event of its departure goes before this one.
    const accepted = exchange.hasLeft
      ? Err(callerLeft)
      : this.acceptCall(requestId, call, now);
    if (accepted.err) {
      const error = accepted.val;
      const retryAfterMs = this.services.isStopping()
        ? leavingRetryMs
        : undefined;
      this.recordRefusal(requestId, call, error, now);
      const outcome = Outcome.NotRun;
      exchange.finish({ requestId, outcome, error, retryAfterMs });
      return;
    }
    this.startRequest(accepted.val, exchange, now);
  }

  /** Records a call that the front end refused. */
  receiveRefusedCall(
    call: RefusedCall,
    error: TypedError,
    now: Milliseconds,
  ): void {
    this.recordRefusal(this.createRequestId(), call, error, now);
  }

  handleCallerDisconnected(exchange: CallerExchange, now: Milliseconds): void {
    this.byExchange
      .get(exchange)
      ?.instance?.send({ type: 'CALLER_DISCONNECTED' }, now);
  }

  /** Dispatches an agent's message to the attempt that it belongs to. */
  receiveAnswer(message: PeerMessage, now: Milliseconds): void {
    const event = toAttemptEvent(message);
    if (!event) {
      return;
    }
    const { requestId, attempt: attemptNumber } = message.value as AttemptRef;
    const attempt = this.byId.get(requestId)?.attempt;
    if (attempt?.ref.attempt === attemptNumber) {
      attempt.instance?.send(event, now);
    }
  }

  /** Notifies the attempts at an agent of a change to its connection. */
  receiveConnectionChange(
    hello: Hello | undefined,
    change: ConnectionEventType,
    now: Milliseconds,
  ): void {
    sendConnectionEvent(this.byId.values(), hello, change, now);
  }

  /** Cancels every open request; each ends with the outcome that its attempts report. */
  cancelAll(now: Milliseconds): void {
    for (const context of [...this.byId.values()]) {
      context.instance?.send({ type: 'STOPPING' }, now);
    }
  }

  /** Removes a request that has ended. */
  remove(context: RequestContext): void {
    this.byId.delete(context.request.requestId);
    this.byExchange.delete(context.exchange);
  }

  /** Fails with `ShuttingDown` while the process is stopping; the body may have begun before. */
  private acceptCall(
    requestId: string,
    call: CallerCall,
    now: Milliseconds,
  ): Result<CallerRequest> {
    if (this.services.isStopping()) {
      return Err(createLeavingError());
    }
    const configuration =
      this.services.getConfiguration() ?? emptyConfiguration;
    return acceptCall(requestId, call, configuration, now);
  }

  private createRequestId(): string {
    this.requestCount += 1;
    return `${this.services.incarnation}.${String(this.requestCount)}`;
  }

  private startRequest(
    request: CallerRequest,
    exchange: CallerExchange,
    now: Milliseconds,
  ): void {
    const { events, machine, timers } = this.services;
    const services = this.services.getRequestServices();
    const context = createRequestContext(services, request, exchange);
    events.record('request-accepted', now, {
      requestId: request.requestId,
      detail: {
        account: request.account,
        rank: request.rank,
        service: request.service.name,
        callerRequestId: request.callerRequestId ?? '',
      },
    });
    context.instance = machine.createInstance(context, timers);
    this.byId.set(request.requestId, context);
    this.byExchange.set(exchange, context);
    context.instance.start(now);
  }

  /** Records a call that was refused before it became a request. */
  private recordRefusal(
    requestId: string,
    call: RefusedCall,
    error: TypedError,
    now: Milliseconds,
  ): void {
    const { events, ledger } = this.services;
    const callerRequestId = call.callerRequestId ?? '';
    events.record('request-refused', now, {
      requestId,
      detail: { kind: error.kind, callerRequestId },
    });
    const account = this.findAccountName(call.bearerKey);
    ledger.append(createRefusalRecord(requestId, call, account, error, now));
  }

  private findAccountName(bearerKey: string): string {
    const configuration = this.services.getConfiguration();
    return (configuration && findAccount(bearerKey, configuration)?.name) ?? '';
  }
}

const callerLeft = new TypedError(
  ErrorKind.ConnectionLost,
  'the caller has left before its call was taken',
  'keep the connection open until the answer comes',
);
