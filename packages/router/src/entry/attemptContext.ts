/** Context of one attempt of a request, and the events of its state chart. */
import type { ChartInstance } from '@lycheetally/charts';
import type { Milliseconds, TypedError } from '@lycheetally/common';
import type { Route } from '@lycheetally/decisions';
import type { AttemptRef, Finished } from '@lycheetally/protocol';
import type { RequestContext } from './requestContext.js';

/** Events of the chart `attempt`. */
export type AttemptEvent =
  | { readonly type: 'ACCEPTED' | 'STARTED' | 'REVOKED' | 'CANCELLED' }
  | { readonly type: 'CANCEL' | 'REVOKE' }
  | {
      /** `CONNECTION_GONE` says that the agent has restarted. */
      readonly type:
        | 'CONNECTION_LOST'
        | 'CONNECTION_RESTORED'
        | 'CONNECTION_GONE'
        | 'UNREACHABLE';
    }
  | { readonly type: 'FINISHED'; readonly end: Finished }
  | {
      readonly type: 'REFUSED' | 'FAILED';
      readonly error: TypedError;
      /** The server that refused or failed. */
      readonly serverId: string;
    };

export type AttemptInstance = ChartInstance<AttemptContext, AttemptEvent>;

export interface AttemptContext {
  readonly owner: RequestContext;
  readonly ref: AttemptRef;
  readonly epoch: number;
  readonly route: Route;
  readonly startedAt: Milliseconds;
  /** When its agent reported that a server runs it. */
  runningAt: Milliseconds | undefined;
  instance: AttemptInstance | undefined;
  error: TypedError | undefined;
  failedServerId: string | undefined;
  end: Finished | undefined;
  /** Number of tokens of this attempt that were sent to the caller. */
  deliveredTokens: number;
}

/** Returns the id of the server that runs the first stage; the entry talks only to its agent. */
export const getFirstServerId = (attempt: AttemptContext): string =>
  attempt.route[0]?.serverId ?? '';
