/**
 * Resends what an entry may have missed.
 *
 * An entry that has reconnected requests the tokens from a given index on.
 * Running work continues over the new connection; for ended work the final
 * message is sent again, as long as it is kept.
 */
import { ErrorKind, type Milliseconds } from '@lycheetally/common';
import {
  MessageKind,
  type AttemptRef,
  type PeerMessage,
  type Token,
} from '@lycheetally/protocol';
import type { PeerChannel } from '../peers/peerChannel.js';
import type { EndedAttempt } from './endedAttempts.js';
import type { WorkContext } from './workContext.js';

/** Handles a resume request for work that has not ended. */
export const sendMissedTokens = (
  work: WorkContext,
  channel: PeerChannel,
  fromIndex: number,
  now: Milliseconds,
): void => {
  work.instance?.send({ type: 'OWNER_RECONNECTED' }, now);
  sendTokens(work.keptTokens, channel, fromIndex);
};

/** Answers for an attempt that has ended or that this agent does not know. */
export const answerForEndedAttempt = (
  ended: EndedAttempt | undefined,
  channel: PeerChannel,
  ref: AttemptRef,
  serverId: string,
  fromIndex = 0,
): void => {
  sendTokens(ended?.tokens ?? [], channel, fromIndex);
  channel.send(ended?.end ?? createNotKeptMessage(ref, serverId));
};

const sendTokens = (
  tokens: readonly Token[],
  channel: PeerChannel,
  fromIndex: number,
): void => {
  for (const value of tokens) {
    if (value.index >= fromIndex) {
      channel.send({ kind: MessageKind.Token, value });
    }
  }
};

const createNotKeptMessage = (
  ref: AttemptRef,
  serverId: string,
): PeerMessage => ({
  kind: MessageKind.Failed,
  value: {
    requestId: ref.requestId,
    attempt: ref.attempt,
    kind: ErrorKind.ConnectionLost,
    reason: 'the attempt has ended and its answer is no longer kept',
    serverId,
  },
});
