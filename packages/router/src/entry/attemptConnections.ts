/** Notifies attempts of changes to the connection to their first agent. */
import type { Milliseconds } from '@lycheetally/common';
import type { Hello } from '@lycheetally/protocol';
import type { AttemptEvent } from './attemptContext.js';
import type { RequestContext } from './requestContext.js';

/** Connection events that attempts handle. */
export type ConnectionEventType = Extract<
  AttemptEvent,
  { readonly type: `CONNECTION_${string}` | 'UNREACHABLE' }
>['type'];

/** Sends an event to every attempt whose first stage runs on the given incarnation of an agent. */
export const sendConnectionEvent = (
  requests: Iterable<RequestContext>,
  hello: Hello | undefined,
  type: ConnectionEventType,
  now: Milliseconds,
): void => {
  for (const { attempt } of [...requests]) {
    const first = attempt?.route[0];
    const isSameIncarnation =
      first?.serverId === hello?.backend?.serverId &&
      first?.incarnation === hello?.incarnation;
    if (attempt && hello && isSameIncarnation) {
      attempt.instance?.send({ type }, now);
    }
  }
};
