/**
 * The history of a run: what callers saw and what the stand-ins recorded of
 * their own work. The checker reads nothing else.
 */
import type { ValueOf } from '@lycheetally/common';
import type { CallerAnswer } from '../fleet/callerClient.js';
import type { PassRecord } from '../standIns/modelEngine.js';
import type { PlainRunRecord } from '../standIns/plainService.js';

/** A completion that a caller asked for. */
export interface ModelCallRecord {
  readonly kind: 'model';
  readonly callId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** What the caller saw; `undefined` while or when nothing came. */
  readonly answer: CallerAnswer | undefined;
}

/** A call of a plain service; its body carries `callId`. */
export interface PlainCallRecord {
  readonly kind: 'plain';
  readonly callId: string;
  readonly service: string;
  readonly isRepeatable: boolean;
  /** Calls of one key are one request. */
  readonly idempotencyKey: string | undefined;
  readonly answer: CallerAnswer | undefined;
}

export type CallRecord = ModelCallRecord | PlainCallRecord;

export interface History {
  /** Layers of the whole model. */
  readonly layers: number;
  readonly calls: readonly CallRecord[];
  /** Passes at all engines. */
  readonly passes: readonly PassRecord[];
  /** Runs at all plain services. */
  readonly runs: readonly PlainRunRecord[];
}

/** The rules that a history can break. */
export const ViolationKind = {
  /** A call that must not be repeated, or a key, has more than one run. */
  RanTwice: 'ran-twice',
  /** A caller was told "not run" of something that ran. */
  NotRunButRan: 'not-run-but-ran',
  /** A call was called complete without a run. */
  CompleteWithoutRun: 'complete-without-run',
  /** A caller got less, more or something else than its own answer. */
  WrongAnswer: 'wrong-answer',
  /** A stream ended without its end mark and without an error. */
  SilentEnd: 'silent-end',
  /** A caller got no outcome. */
  Unanswered: 'unanswered',
  /** A layer ran twice for a position under one epoch. */
  PassRepeated: 'pass-repeated',
  /** A delivered token lacks a pass of every layer in order under one epoch. */
  PassBroken: 'pass-broken',
} as const;
export type ViolationKind = ValueOf<typeof ViolationKind>;

/** A rule that a history breaks. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly callId: string;
  readonly detail: string;
}
