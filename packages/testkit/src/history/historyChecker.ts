/** Checks that a history shows no lost, repeated or wrong answers. */
import {
  computeCompletion,
  formatTokens,
  tokenizePrompt,
} from '../standIns/modelMath.js';
import type { PassRecord } from '../standIns/modelEngine.js';
import type { PlainRunRecord } from '../standIns/plainService.js';
import {
  ViolationKind,
  type CallRecord,
  type History,
  type ModelCallRecord,
  type PlainCallRecord,
  type Violation,
} from './history.js';
import { findIncorrectPosition, findRepeatedPass } from './passCheck.js';

/** Records a violation of the call that is being checked. */
type ReportViolation = (kind: ViolationKind, detail: string) => void;

/** Checks every call of a history and returns all violations. */
export const checkHistory = (history: History): Violation[] => {
  const violations: Violation[] = [];
  const passes = collectBy(history.passes, pass => pass.requestId);
  const runs = collectBy(history.runs, readCallId);
  for (const call of history.calls) {
    const report: ReportViolation = (kind, detail) => {
      violations.push({ kind, callId: call.callId, detail });
    };
    checkAnswered(call, report);
    if (call.kind === 'model') {
      const requestId = call.answer?.requestId ?? '';
      const own = passes.get(requestId) ?? [];
      checkModelCall(call, own, history.layers, report);
    } else {
      checkPlainCall(call, runs.get(call.callId) ?? [], report);
    }
  }
  violations.push(...checkIdempotencyKeys(history, runs));
  return violations;
};

const collectBy = <T>(
  values: readonly T[],
  getKey: (value: T) => string,
): ReadonlyMap<string, readonly T[]> => {
  const groups = new Map<string, T[]>();
  for (const value of values) {
    const key = getKey(value);
    const group = groups.get(key) ?? [];
    groups.set(key, group);
    group.push(value);
  }
  return groups;
};

const readCallId = (run: PlainRunRecord): string => {
  const { callId } = (run.body ?? {}) as { callId?: string };
  return callId ?? '';
};

const outcomes = ['complete', 'not-run', 'failed', 'unknown'];

const checkAnswered = (call: CallRecord, report: ReportViolation): void => {
  const { answer } = call;
  if (!answer) {
    report(ViolationKind.Unanswered, 'no answer arrived');
    return;
  }
  if (answer.outcome === undefined || !outcomes.includes(answer.outcome)) {
    const outcome = String(answer.outcome);
    report(ViolationKind.Unanswered, `the outcome is "${outcome}"`);
  }
};

const checkModelCall = (
  call: ModelCallRecord,
  passes: readonly PassRecord[],
  layers: number,
  report: ReportViolation,
): void => {
  const text = call.answer?.text ?? '';
  const isComplete = call.answer?.outcome === 'complete';
  const expected = formatTokens(
    computeCompletion(call.prompt, call.maxTokens, layers),
  );
  const isCorrect = isComplete ? text === expected : expected.startsWith(text);
  if (!isCorrect) {
    report(ViolationKind.WrongAnswer, `got "${text}", expected "${expected}"`);
  }
  if (call.answer && isComplete !== call.answer.isDone) {
    report(ViolationKind.SilentEnd, 'the end marker and the outcome disagree');
  }
  if (text !== '' && !isComplete && call.answer?.body === undefined) {
    report(ViolationKind.SilentEnd, 'the stream ended without an error event');
  }
  if (call.answer?.outcome === 'not-run' && passes.length > 0) {
    const count = String(passes.length);
    report(ViolationKind.NotRunButRan, `engines recorded ${count} passes`);
  }
  checkPasses(call, countTokens(text), passes, layers, report);
};

const countTokens = (text: string): number => text.split(' ').length - 1;

const checkPasses = (
  call: ModelCallRecord,
  delivered: number,
  passes: readonly PassRecord[],
  layers: number,
  report: ReportViolation,
): void => {
  const repeated = findRepeatedPass(passes);
  if (repeated) {
    report(ViolationKind.PassRepeated, JSON.stringify(repeated));
  }
  if (delivered === 0) {
    return;
  }
  const bound = tokenizePrompt(call.prompt).length + delivered - 1;
  const incorrect = findIncorrectPosition(passes, bound, layers);
  if (incorrect !== undefined) {
    const detail = `no epoch computed position ${String(incorrect)} of ${String(bound)} correctly`;
    report(ViolationKind.PassBroken, detail);
  }
};

const checkPlainCall = (
  call: PlainCallRecord,
  runs: readonly PlainRunRecord[],
  report: ReportViolation,
): void => {
  const { answer } = call;
  const count = String(runs.length);
  if (!call.isRepeatable && runs.length > 1) {
    report(ViolationKind.RanTwice, `the service recorded ${count} runs`);
  }
  if (answer?.outcome === 'not-run' && runs.length > 0) {
    report(ViolationKind.NotRunButRan, `the service recorded ${count} runs`);
  }
  if (answer?.outcome !== 'complete') {
    return;
  }
  if (call.idempotencyKey !== undefined) {
    return;
  }
  if (readEchoedId(answer.body) !== call.callId) {
    const seen = JSON.stringify(answer.body);
    report(ViolationKind.WrongAnswer, `the answer is ${seen}`);
  }
  if (runs.length === 0) {
    report(ViolationKind.CompleteWithoutRun, 'the service recorded no run');
  }
};

/**
 * Checks that the calls of each idempotency key ran at most once in total, and
 * exactly once if any of them completed.
 */
const checkIdempotencyKeys = (
  history: History,
  runs: ReadonlyMap<string, readonly PlainRunRecord[]>,
): Violation[] => {
  const keyed = history.calls.filter(
    (call): call is PlainCallRecord & { idempotencyKey: string } =>
      call.kind === 'plain' && call.idempotencyKey !== undefined,
  );
  const byKey = collectBy(keyed, call => call.idempotencyKey);
  return [...byKey].flatMap(([key, calls]) => {
    const own = calls.flatMap(call => runs.get(call.callId) ?? []);
    return checkIdempotencyKey(key, calls, own.length);
  });
};

const checkIdempotencyKey = (
  key: string,
  calls: readonly PlainCallRecord[],
  runs: number,
): Violation[] => {
  const detail = `key ${key} has ${String(runs)} runs`;
  const callId = calls.map(call => call.callId).join(',');
  const isComplete = calls.some(call => call.answer?.outcome === 'complete');
  if (runs > 1) {
    return [{ kind: ViolationKind.RanTwice, callId, detail }];
  }
  if (isComplete && runs === 0) {
    return [{ kind: ViolationKind.CompleteWithoutRun, callId, detail }];
  }
  const hasForeignAnswer = calls.some(call => !hasAnswerOfKey(call, calls));
  return hasForeignAnswer
    ? [
        {
          kind: ViolationKind.WrongAnswer,
          callId,
          detail: 'the answer belongs to a call without this key',
        },
      ]
    : [];
};

/** Whether a complete answer echoes one of the calls with the same key. */
const hasAnswerOfKey = (
  call: PlainCallRecord,
  calls: readonly PlainCallRecord[],
): boolean =>
  call.answer?.outcome !== 'complete' ||
  calls.some(each => each.callId === readEchoedId(call.answer?.body));

const readEchoedId = (body: unknown): string | undefined =>
  (body as { body?: { callId?: string } } | undefined)?.body?.callId;
