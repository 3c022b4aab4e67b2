/** Tells attempts what becomes of the connection to their first agent. */
import type { Milliseconds } from '@lycheetally/common';
import type { Hello } from '@lycheetally/protocol';
import type { AttemptEvent } from './attemptContext.js';
import type { RequestContext } from './requestContext.js';

/** Events of a connection that attempts take. */
export type ConnectionEventType = Extract<
  AttemptEvent,
  { readonly type: `CONNECTION_${string}` | 'UNREACHABLE' }
>['type'];

/** Sends an event to each attempt at one start of one agent. */
export const sendConnectionEvent = (
  requests: Iterable<RequestContext>,
  hello: Hello | undefined,
  type: ConnectionEventType,
  now: Milliseconds,
): void => {
  for (const { attempt } of [...requests]) {
    const first = attempt?.route[0];
    const isThere =
      first?.serverId === hello?.backend?.serverId &&
      first?.incarnation === hello?.incarnation;
    if (attempt && hello && isThere) {
      attempt.instance?.send({ type }, now);
    }
  }
};
