/**
 * The history of a test run: what callers received and what the stand-ins
 * recorded about their own work. It is the only input of the checker.
 */
import type { ValueOf } from '@lycheetally/common';
import type { CallerAnswer } from '../fleet/callerClient.js';
import type { PassRecord } from '../standIns/modelEngine.js';
import type { PlainRunRecord } from '../standIns/plainService.js';

/** A completion that a caller requested. */
export interface ModelCallRecord {
  readonly kind: 'model';
  readonly callId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** What the caller received; `undefined` if no response arrived. */
  readonly answer: CallerAnswer | undefined;
}

/** A call to a plain service; its body carries `callId`. */
export interface PlainCallRecord {
  readonly kind: 'plain';
  readonly callId: string;
  readonly service: string;
  readonly isRepeatable: boolean;
  /** Calls with the same key count as one request. */
  readonly idempotencyKey: string | undefined;
  readonly answer: CallerAnswer | undefined;
}

export type CallRecord = ModelCallRecord | PlainCallRecord;

export interface History {
  /** Number of layers of the whole model. */
  readonly layers: number;
  readonly calls: readonly CallRecord[];
  /** Forward passes of all engines. */
  readonly passes: readonly PassRecord[];
  /** Runs of all plain services. */
  readonly runs: readonly PlainRunRecord[];
}

/** The ways in which a history can be incorrect. */
export const ViolationKind = {
  /** A call that must not be repeated, or an idempotency key, has more than one run. */
  RanTwice: 'ran-twice',
  /** A caller got the outcome `not-run` for a call that ran. */
  NotRunButRan: 'not-run-but-ran',
  /** A caller got the outcome `complete` for a call without a run. */
  CompleteWithoutRun: 'complete-without-run',
  /** A caller got too little, too much or an answer that isn't its own. */
  WrongAnswer: 'wrong-answer',
  /** A stream ended without its end mark and without an error. */
  SilentEnd: 'silent-end',
  /** A caller got no answer or no valid outcome. */
  Unanswered: 'unanswered',
  /** A layer ran more than once for a position in one epoch. */
  PassRepeated: 'pass-repeated',
  /** No single epoch ran all layers in order for the positions of a delivered token. */
  PassBroken: 'pass-broken',
} as const;
export type ViolationKind = ValueOf<typeof ViolationKind>;

/** An error that the checker found in a history. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly callId: string;
  readonly detail: string;
}
