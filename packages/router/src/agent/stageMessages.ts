/**
 * Handles messages between the stages of a chain.
 *
 * Activations are accepted only from the owner of the work, tokens and final
 * messages only over the channel to the next stage. Any other message belongs
 * to another chain and is dropped.
 */
import { ErrorKind, TypedError, type Milliseconds } from '@lycheetally/common';
import {
  MessageKind,
  type Activations,
  type Failed,
  type PeerMessage,
  type Refused,
} from '@lycheetally/protocol';
import type { PeerChannel } from '../peers/peerChannel.js';
import { receiveActivations, relayToken } from './backendRelay.js';
import type { WorkContext, WorkEvent } from './workContext.js';

/** Handles a message from a neighbouring stage. */
export const receiveFromStage = (
  work: WorkContext,
  channel: PeerChannel,
  message: PeerMessage,
  now: Milliseconds,
): void => {
  if (message.kind === MessageKind.Activations) {
    receiveFromOwner(work, channel, message.value, now);
    return;
  }
  if (work.nextChannel === channel) {
    receiveFromNextStage(work, channel, message, now);
  }
};

const receiveFromOwner = (
  work: WorkContext,
  channel: PeerChannel,
  activations: Activations,
  now: Milliseconds,
): void => {
  const isOwner = channel.remote?.nodeId === work.ownerId;
  if (isOwner && work.instance?.matches('running')) {
    receiveActivations(work, activations, now);
  }
};

const receiveFromNextStage = (
  work: WorkContext,
  channel: PeerChannel,
  message: PeerMessage,
  now: Milliseconds,
): void => {
  switch (message.kind) {
    case MessageKind.Token:
      if (work.instance?.matches('running')) {
        relayToken(work, message.value, now);
      }
      return;
    case MessageKind.Started:
      work.instance?.send({ type: 'RESERVED' }, now);
      return;
    case MessageKind.Refused:
      sendStageError(work, 'NEXT_STAGE_REFUSED', message.value, channel, now);
      return;
    case MessageKind.Failed:
      sendStageError(work, 'BACKEND_FAILED', message.value, channel, now);
      return;
    default:
  }
};

const sendStageError = (
  work: WorkContext,
  type: 'NEXT_STAGE_REFUSED' | 'BACKEND_FAILED',
  value: Refused | Failed,
  channel: PeerChannel,
  now: Milliseconds,
): void => {
  const error = new TypedError(
    value.kind === ErrorKind.BackendCrashed
      ? ErrorKind.BackendCrashed
      : ErrorKind.BackendFailed,
    `a later stage refused the work or failed (${value.reason})`,
    'send the request again',
  );
  const serverId = value.serverId || getServerId(channel);
  work.instance?.send({ type, error, serverId }, now);
};

/** Fails the work whose next stage was connected over a channel that was lost. */
export const failWorkOfLostStage = (
  openWork: Iterable<WorkContext>,
  channel: PeerChannel,
  now: Milliseconds,
): void => {
  const error = new TypedError(
    ErrorKind.ConnectionLost,
    'the connection to a later stage was lost',
    'send the request again',
  );
  const event: WorkEvent = {
    type: 'BACKEND_FAILED',
    error,
    serverId: getServerId(channel),
  };
  for (const work of [...openWork]) {
    if (work.nextChannel === channel) {
      work.instance?.send(event, now);
    }
  }
};

const getServerId = (channel: PeerChannel): string =>
  channel.remote?.backend?.serverId ?? '';
