/** Routes the claimed attempt of a request and reports the result of the claim to its chart. */
import type { Milliseconds, Result, TypedError } from '@lycheetally/common';
import type { ClaimEndRecord, Route } from '@lycheetally/decisions';
import type { RequestContext } from '../entry/requestContext.js';
import { chooseSafeRoute } from '../entry/suspects/tracedRequest.js';
import { ClaimOwner } from './claimContext.js';
import { readKeptAnswer } from './claimEnds.js';

export class RequestClaimOwner extends ClaimOwner {
  constructor(private readonly context: RequestContext) {
    super();
  }

  override chooseRoute(now: Milliseconds): Result<Route> {
    return chooseSafeRoute(this.context, now);
  }

  override handleWon(route: Route, now: Milliseconds): void {
    this.context.route = route;
    this.context.instance?.send({ type: 'CLAIM_WON' }, now);
  }

  override handleEnded(end: ClaimEndRecord, now: Milliseconds): void {
    const { request, instance } = this.context;
    const answer = readKeptAnswer(end);
    if (answer.err) {
      instance?.send({ type: 'CLAIM_FAILED', error: answer.val }, now);
      return;
    }
    this.context.end = {
      requestId: request.requestId,
      attempt: 0,
      finishReason: '',
      promptTokens: 0,
      generatedTokens: 0,
      plain: answer.val,
    };
    instance?.send({ type: 'CLAIM_COMPLETE' }, now);
  }

  override handleNotRun(error: TypedError, now: Milliseconds): void {
    this.context.instance?.send({ type: 'CLAIM_NOT_RUN', error }, now);
  }

  override handleUnknown(error: TypedError, now: Milliseconds): void {
    this.context.instance?.send({ type: 'CLAIM_UNKNOWN', error }, now);
  }
}
