/** Converts the end of an attempt to a claim end record, and such a record to an answer. */
import {
  ErrorKind,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import { Err, Ok } from '@lycheetally/common';
import {
  ClaimRecordKind,
  Outcome,
  type ClaimEndRecord,
  type ClaimRecord,
  type KeptAnswer,
  type TakeoverRecord,
} from '@lycheetally/decisions';
import {
  MessageKind,
  type PeerMessage,
  type PlainAnswer,
} from '@lycheetally/protocol';
import { maxClaimAnswerBytes } from '../constants.js';
import type { ClaimEvent } from './claimContext.js';

export const createEndRecord = (
  claim: ClaimRecord | TakeoverRecord,
  outcome: ClaimEndRecord['outcome'],
  detail: { readonly reason: string; readonly plain?: PlainAnswer | undefined },
  now: Milliseconds,
): ClaimEndRecord => ({
  kind: ClaimRecordKind.End,
  key: claim.key,
  claimId: claim.claimId,
  outcome,
  reason: detail.reason,
  answer: toKeptAnswer(detail.plain),
  at: now,
});

const toKeptAnswer = (
  plain: PlainAnswer | undefined,
): KeptAnswer | undefined =>
  plain && plain.body.length <= maxClaimAnswerBytes
    ? {
        status: plain.status,
        contentType: plain.contentType,
        body: Buffer.from(plain.body).toString('base64'),
      }
    : undefined;

/** Returns the answer stored in a record. Fails with the error for a repeated request. */
export const readKeptAnswer = (end: ClaimEndRecord): Result<PlainAnswer> => {
  if (end.outcome !== Outcome.Complete) {
    return Err(
      new TypedError(
        ErrorKind.BackendFailed,
        `the first request with this key failed (${end.reason})`,
        'check its effect, then send the request with a new key',
      ),
    );
  }
  if (!end.answer) {
    return Err(
      new TypedError(
        ErrorKind.AnswerNotKept,
        'the first request with this key completed, but its answer was not stored',
        'rely on its effect; sending it with a new key runs it again',
      ),
    );
  }
  const { status, contentType, body } = end.answer;
  return Ok({ status, contentType, body: Buffer.from(body, 'base64') });
};

/** Converts an agent's answer about the attempt of a claim to an event of the chart `claim`. */
export const toClaimEvent = (
  claim: ClaimRecord | TakeoverRecord,
  message: PeerMessage,
  now: Milliseconds,
): ClaimEvent | undefined => {
  switch (message.kind) {
    case MessageKind.Accepted:
    case MessageKind.Started:
      return { type: 'RUNNING' };
    case MessageKind.Revoked:
    case MessageKind.Refused:
      return { type: 'REVOKED' };
    case MessageKind.Finished: {
      const { plain } = message.value;
      const detail = { reason: '', plain };
      return {
        type: 'RAN',
        end: createEndRecord(claim, Outcome.Complete, detail, now),
      };
    }
    case MessageKind.Failed: {
      const { reason, kind } = message.value;
      if (kind === ErrorKind.ConnectionLost) {
        // The agent no longer knows how the attempt ended.
        return { type: 'OUTCOME_LOST' };
      }
      return {
        type: 'RAN',
        end: createEndRecord(claim, Outcome.Failed, { reason }, now),
      };
    }
    case MessageKind.Cancelled: {
      const detail = { reason: 'it was stopped after it had started' };
      return {
        type: 'RAN',
        end: createEndRecord(claim, Outcome.Failed, detail, now),
      };
    }
    default:
      return undefined;
  }
};
