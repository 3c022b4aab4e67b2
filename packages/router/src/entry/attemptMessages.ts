/** Maps messages from agents to events of the chart `attempt`. */
import { ErrorKind, TypedError } from '@lycheetally/common';
import {
  MessageKind,
  type Failed,
  type PeerMessage,
  type Refused,
} from '@lycheetally/protocol';
import type { AttemptEvent } from './attemptContext.js';

/** Returns the event for a message; `undefined` for messages that concern no attempt. */
export const toAttemptEvent = (
  message: PeerMessage,
): AttemptEvent | undefined => {
  switch (message.kind) {
    case MessageKind.Accepted:
      return { type: 'ACCEPTED' };
    case MessageKind.Started:
      return { type: 'STARTED' };
    case MessageKind.Revoked:
      return { type: 'REVOKED' };
    case MessageKind.Cancelled:
      return { type: 'CANCELLED' };
    case MessageKind.Finished:
      return { type: 'FINISHED', end: message.value };
    case MessageKind.Refused:
      return {
        type: 'REFUSED',
        error: toError(message.value),
        serverId: message.value.serverId,
      };
    case MessageKind.Failed: {
      const { serverId } = message.value;
      return { type: 'FAILED', error: toError(message.value), serverId };
    }
    default:
      return undefined;
  }
};

const errorKinds: ReadonlySet<string> = new Set(Object.values(ErrorKind));

const toError = (value: Refused | Failed): TypedError =>
  new TypedError(
    errorKinds.has(value.kind)
      ? (value.kind as ErrorKind)
      : ErrorKind.BackendFailed,
    value.reason,
    'send the request again when this is fixed',
  );
