/**
 * Typed errors.
 *
 * Each error has a kind that code can test and a message that names the
 * remedy, so that a person reading one line knows what to change.
 */
import type { ValueOf } from './types.js';

export const ErrorKind = {
  /** A settings file is missing or has faults. */
  BadSetting: 'bad-setting',
  /** A chart file is broken or names something that does not exist. */
  BadChart: 'bad-chart',
  /** An address cannot be listened on or connected to. */
  BadAddress: 'bad-address',
  /** A caller's request is malformed. */
  BadRequest: 'bad-request',
  /** A caller's request is larger than the limit. */
  TooLarge: 'too-large',
  /** The bearer key belongs to no client account. */
  UnknownAccount: 'unknown-account',
  /** The service, model or path does not exist. */
  UnknownService: 'unknown-service',
  /** The rank does not exist in the configuration. */
  UnknownRank: 'unknown-rank',
  /** The idempotency key was used with another body or is outside the window. */
  KeyRefused: 'key-refused',
  /** The request has run, and its answer is not kept. */
  AnswerNotKept: 'answer-not-kept',
  /** No backend server can take the request now. */
  NoCapacity: 'no-capacity',
  /** The deadline has passed or cannot be met. */
  DeadlineExceeded: 'deadline-exceeded',
  /** The process is stopping and takes no new work. */
  Leaving: 'leaving',
  /** The backend server answered with an error or died. */
  BackendFailed: 'backend-failed',
  /** A connection between processes was lost. */
  ConnectionLost: 'connection-lost',
  /** The platform's log or VM list did not answer. */
  PlatformUnavailable: 'platform-unavailable',
  /** A message or configuration breaks the protocol. */
  BadMessage: 'bad-message',
  /** A newer version of the configuration is in force. */
  ConfigConflict: 'config-conflict',
  /** It is not known whether a change took effect. */
  ConfigUnsettled: 'config-unsettled',
  /** The command line was used wrongly. */
  Usage: 'usage',
} as const;
export type ErrorKind = ValueOf<typeof ErrorKind>;

/** An error with a kind, what happened and the remedy. */
export class TypedError extends Error {
  readonly kind: ErrorKind;
  readonly remedy: string;

  constructor(kind: ErrorKind, fault: string, remedy: string) {
    super(`${fault}; ${remedy}`);
    this.name = 'TypedError';
    this.kind = kind;
    this.remedy = remedy;
  }
}

/** Returns the value as a typed error, wrapping anything that was thrown. */
export const toTypedError = (
  thrown: unknown,
  kind: ErrorKind,
  remedy: string,
): TypedError => {
  if (thrown instanceof TypedError) {
    return thrown;
  }
  const fault = thrown instanceof Error ? thrown.message : String(thrown);
  return new TypedError(kind, fault, remedy);
};
