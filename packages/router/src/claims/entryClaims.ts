/** Claims the keys of an entry's requests, and queries agents about the attempts that hold them. */
import type { Milliseconds } from '@lycheetally/common';
import {
  Outcome,
  type ClaimRecord,
  type TakeoverRecord,
} from '@lycheetally/decisions';
import {
  MessageKind,
  type AttemptRef,
  type PeerMessage,
} from '@lycheetally/protocol';
import type { AttemptContext } from '../entry/attemptContext.js';
import type { RequestContext } from '../entry/requestContext.js';
import type { EventLog } from '../eventLog.js';
import { ClaimLog, type ClaimSettings } from './claimLog.js';
import {
  SendResult,
  ClaimAttemptContext,
  hashClaimBody,
  hashClaimKey,
  type ClaimServices,
} from './claimContext.js';
import { createEndRecord, toClaimEvent } from './claimEnds.js';
import type { StreamServices } from './claimStream.js';
import { RequestClaimOwner } from './requestClaimOwner.js';

/** Services that an entry provides to its claims. */
export interface EntryClaimServices extends StreamServices {
  readonly events: EventLog;
  /** Sends a message to one incarnation of an agent. */
  sendToAgent(
    serverId: string,
    incarnation: string,
    message: PeerMessage,
  ): SendResult;
}

export class EntryClaims {
  readonly claimLog: ClaimLog;
  private readonly services: ClaimServices;
  private readonly queriesByAttempt = new Map<
    string,
    Set<ClaimAttemptContext>
  >();

  constructor(
    settings: ClaimSettings,
    private readonly entryServices: EntryClaimServices,
    now: Milliseconds,
  ) {
    this.claimLog = new ClaimLog(settings, entryServices, now);
    this.services = {
      timers: entryServices.timers,
      events: entryServices.events,
      claimLog: this.claimLog,
      requestRevocation: (holder, claim) =>
        this.requestRevocation(holder, claim),
    };
  }

  /** Starts the claim of a request's next attempt. */
  startClaim(context: RequestContext, now: Milliseconds): void {
    const { request, claim: earlier } = context;
    const idempotencyKey = request.idempotencyKey ?? '';
    const claim = new ClaimAttemptContext(
      this.services,
      new RequestClaimOwner(context),
      {
        idempotencyKey,
        key: hashClaimKey(
          request.account,
          request.service.name,
          idempotencyKey,
        ),
        bodyHash: hashClaimBody(request.model, request.plain),
        ref: {
          requestId: request.requestId,
          attempt: context.attemptCount + 1,
        },
      },
    );
    // A request makes another attempt only when the earlier one was not run.
    claim.revokedClaimId = earlier?.ownRecord?.claimId;
    context.claim = claim;
    claim.start(now);
  }

  /** Records how a claimed attempt ended; an unknown outcome is not recorded. */
  recordAttemptEnd(
    attempt: AttemptContext,
    outcome: Outcome,
    now: Milliseconds,
  ): void {
    const claim = attempt.owner.claim;
    if (!claim?.ownRecord || outcome === Outcome.Unknown) {
      return;
    }
    const detail = {
      reason: attempt.error?.message ?? '',
      plain: outcome === Outcome.Complete ? attempt.end?.plain : undefined,
    };
    claim.stream.appendEnd(
      createEndRecord(claim.ownRecord, outcome, detail, now),
      now,
    );
  }

  /** Forwards an agent's answer to the claims that queried its attempt. */
  receiveAnswer(message: PeerMessage, now: Milliseconds): void {
    if (!('requestId' in message.value)) {
      return;
    }
    const key = formatRef(message.value);
    const claims = this.queriesByAttempt.get(key);
    for (const claim of [...(claims ?? [])]) {
      const event =
        claim.queriedClaim && toClaimEvent(claim.queriedClaim, message, now);
      if (event) {
        claim.send(event, now);
      }
      if (claim.instance?.isFinal !== false) {
        claims?.delete(claim);
      }
    }
    if (claims?.size === 0) {
      this.queriesByAttempt.delete(key);
    }
  }

  private requestRevocation(
    holder: ClaimRecord | TakeoverRecord,
    claim: ClaimAttemptContext,
  ): SendResult {
    const { requestId, attempt, serverId, incarnation } = holder;
    const ref = { requestId, attempt };
    const claims = this.queriesByAttempt.get(formatRef(ref)) ?? new Set();
    this.queriesByAttempt.set(formatRef(ref), claims.add(claim));
    return this.entryServices.sendToAgent(serverId, incarnation, {
      kind: MessageKind.Revoke,
      value: ref,
    });
  }
}

const formatRef = (ref: AttemptRef): string =>
  `${ref.requestId}/${String(ref.attempt)}`;
