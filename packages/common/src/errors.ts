/**
 * Typed errors.
 *
 * Each error has a kind that code can test and a message that ends with a
 * remedy, so that a single log line tells operators what to change.
 */
import type { ValueOf } from './types.js';

export const ErrorKind = {
  /** A settings file is missing or invalid. */
  BadSetting: 'bad-setting',
  /** A chart file is invalid or refers to something that does not exist. */
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
  /** The request has run, and its response is no longer stored. */
  AnswerNotKept: 'answer-not-kept',
  /** No backend server can take the request now. */
  NoCapacity: 'no-capacity',
  /** A part of the call's prompt crashes backend servers, or may. */
  PromptPartRefused: 'prompt-part-refused',
  /** The call as a whole crashes backend servers, or may. */
  CallRefused: 'call-refused',
  /** The deadline has passed or cannot be met. */
  DeadlineExceeded: 'deadline-exceeded',
  /** The process is shutting down and accepts no new work. */
  ShuttingDown: 'leaving',
  /** The backend server returned an error or crashed. */
  BackendFailed: 'backend-failed',
  /** The backend server closed the connection while it ran the work. */
  BackendCrashed: 'backend-crashed',
  /** A connection between processes was lost. */
  ConnectionLost: 'connection-lost',
  /** The platform's log, store or VM list did not respond. */
  PlatformUnavailable: 'platform-unavailable',
  /** A message or configuration violates the protocol. */
  BadMessage: 'bad-message',
  /** A newer version of the configuration is in force. */
  ConfigConflict: 'config-conflict',
  /** It is not known whether a change took effect. */
  ConfigOutcomeUnknown: 'config-unsettled',
  /** The command line has invalid arguments. */
  Usage: 'usage',
} as const;
export type ErrorKind = ValueOf<typeof ErrorKind>;

/** An error whose message is the fault followed by the remedy. */
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

/** Returns a typed error unchanged, and wraps anything else that was thrown. */
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
