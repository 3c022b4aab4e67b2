/** The checker accepts correct histories and reports each kind of violation. */
import { describe, expect, it } from 'vitest';
import {
  ViolationKind,
  checkHistory,
  computeExpectedText,
  type CallerAnswer,
  type History,
  type ModelCallRecord,
  type PassRecord,
  type PlainCallRecord,
} from '../src/index.js';

const layers = 6;
const prompt = 'one two three';
const maxTokens = 4;
const requestId = 'entry.1';
const positions = 3 + maxTokens - 1;

const baseAnswer: CallerAnswer = {
  status: 200,
  requestId,
  outcome: 'complete',
  text: computeExpectedText(prompt, maxTokens, layers),
  body: undefined,
  isDone: true,
  firstTokenMs: 1,
  totalMs: 2,
};

const makePasses = (epoch: number, count: number): PassRecord[] =>
  Array.from({ length: count }, (_, position) =>
    [0, 3].map((layerFrom, stage) => ({
      requestId,
      attempt: epoch,
      epoch,
      position,
      layerFrom,
      layerTo: layerFrom + 3,
      at: epoch * 1_000 + position * 10 + stage,
    })),
  ).flat();

const makeModelHistory = (
  answer: CallerAnswer | undefined = baseAnswer,
  passes: readonly PassRecord[] = makePasses(1, positions),
): History => {
  const call: ModelCallRecord = {
    kind: 'model',
    callId: 'call-1',
    prompt,
    maxTokens,
    answer,
  };
  return { layers, calls: [call], passes, runs: [] };
};

const makePlainHistory = (
  change: Partial<PlainCallRecord>,
  runs: number,
): History => {
  const call: PlainCallRecord = {
    kind: 'plain',
    callId: 'call-2',
    service: 'depot-booking',
    isRepeatable: false,
    idempotencyKey: undefined,
    answer: { ...baseAnswer, body: { body: { callId: 'call-2' } } },
    ...change,
  };
  const run = {
    requestId,
    attempt: 1,
    method: 'POST',
    path: '/calls',
    body: { callId: 'call-2' },
  };
  const list = Array.from({ length: runs }, () => run);
  return { layers, calls: [call], passes: [], runs: list };
};

const listKinds = (history: History): string[] =>
  checkHistory(history).map(violation => violation.kind);

const failedAnswer: CallerAnswer = {
  ...baseAnswer,
  outcome: 'failed',
  text: computeExpectedText(prompt, 2, layers),
  body: { error: {} },
  isDone: false,
};

describe('the history checker', () => {
  it.each([
    ['a whole completion', makeModelHistory()],
    [
      'a completion that ends early with an error',
      makeModelHistory(failedAnswer),
    ],
    [
      'a completion computed over two epochs',
      makeModelHistory(baseAnswer, [
        ...makePasses(1, 4),
        ...makePasses(2, positions),
      ]),
    ],
    ['a booking that ran once', makePlainHistory({}, 1)],
    [
      'a stock lookup that ran twice',
      makePlainHistory({ isRepeatable: true }, 2),
    ],
    [
      'a booking that did not run',
      makePlainHistory({ answer: { ...baseAnswer, outcome: 'not-run' } }, 0),
    ],
  ])('accepts a history with %s', (_, history) => {
    expect(checkHistory(history)).toEqual([]);
  });
});

const makeHistoryWithAnswer = (change: Partial<CallerAnswer>): History =>
  makeModelHistory({ ...baseAnswer, ...change });

const makeHistoryWithPasses = (
  change: (passes: PassRecord[]) => readonly PassRecord[],
): History => makeModelHistory(baseAnswer, change(makePasses(1, positions)));

const makeReorderedPasses = (passes: readonly PassRecord[]): PassRecord[] =>
  passes.map(pass =>
    pass.position === 2 ? { ...pass, at: pass.at + 3 - pass.layerFrom } : pass,
  );

const keyedCall: PlainCallRecord = {
  kind: 'plain',
  callId: 'call-2',
  service: 'depot-booking',
  isRepeatable: false,
  idempotencyKey: 'key',
  answer: undefined,
};

describe('the history checker', () => {
  it.each<[string, History, ViolationKind]>([
    [
      'no answer',
      {
        ...makeModelHistory(),
        calls: [{ ...keyedCall, idempotencyKey: undefined }],
      },
      ViolationKind.Unanswered,
    ],
    [
      'no outcome',
      makeHistoryWithAnswer({ outcome: undefined, text: '', isDone: false }),
      ViolationKind.Unanswered,
    ],
    [
      'a wrong text',
      makeHistoryWithAnswer({ text: ' t1' }),
      ViolationKind.WrongAnswer,
    ],
    [
      'a complete answer with missing tokens',
      makeHistoryWithAnswer({ text: failedAnswer.text }),
      ViolationKind.WrongAnswer,
    ],
    [
      'an extra token',
      makeHistoryWithAnswer({
        text: computeExpectedText(prompt, maxTokens + 1, layers),
      }),
      ViolationKind.WrongAnswer,
    ],
    [
      'a failed answer that skips a token',
      makeModelHistory({ ...failedAnswer, text: baseAnswer.text.slice(4) }),
      ViolationKind.WrongAnswer,
    ],
    [
      'a complete answer without an end marker',
      makeHistoryWithAnswer({ isDone: false }),
      ViolationKind.SilentEnd,
    ],
    [
      'a failed answer without an error event',
      makeModelHistory({ ...failedAnswer, body: undefined }),
      ViolationKind.SilentEnd,
    ],
    [
      'a failed answer with an end marker',
      makeModelHistory({ ...failedAnswer, isDone: true }),
      ViolationKind.SilentEnd,
    ],
    [
      'passes of a request reported as not run',
      makeModelHistory({ ...failedAnswer, outcome: 'not-run', text: '' }),
      ViolationKind.NotRunButRan,
    ],
    [
      'a layer that ran twice',
      makeHistoryWithPasses(passes => [...passes, ...passes.slice(-1)]),
      ViolationKind.PassRepeated,
    ],
    [
      'a missing last stage',
      makeHistoryWithPasses(passes => passes.slice(0, -1)),
      ViolationKind.PassBroken,
    ],
    [
      'a missing first position',
      makeHistoryWithPasses(passes => passes.slice(2)),
      ViolationKind.PassBroken,
    ],
    [
      'stages in the wrong order',
      makeHistoryWithPasses(makeReorderedPasses),
      ViolationKind.PassBroken,
    ],
    [
      'positions in the wrong order',
      makeHistoryWithPasses(passes =>
        passes.map(pass => ({ ...pass, at: -pass.at + 2 * pass.layerFrom })),
      ),
      ViolationKind.PassBroken,
    ],
    [
      'positions split over two epochs',
      makeHistoryWithPasses(passes =>
        passes.map(pass => ({ ...pass, epoch: pass.position < 2 ? 1 : 2 })),
      ),
      ViolationKind.PassBroken,
    ],
    [
      'a booking that ran twice',
      makePlainHistory({}, 2),
      ViolationKind.RanTwice,
    ],
    [
      'a key that ran twice',
      makePlainHistory({ idempotencyKey: 'key', isRepeatable: true }, 2),
      ViolationKind.RanTwice,
    ],
    [
      'a run of a booking reported as not run',
      makePlainHistory({ answer: { ...baseAnswer, outcome: 'not-run' } }, 1),
      ViolationKind.NotRunButRan,
    ],
    [
      'a complete booking without a run',
      makePlainHistory({}, 0),
      ViolationKind.CompleteWithoutRun,
    ],
    [
      'a complete key without a run',
      makePlainHistory({ idempotencyKey: 'key' }, 0),
      ViolationKind.CompleteWithoutRun,
    ],
    [
      'the answer of another caller',
      makePlainHistory(
        { answer: { ...baseAnswer, body: { body: { callId: 'call-9' } } } },
        1,
      ),
      ViolationKind.WrongAnswer,
    ],
    [
      'the answer of another key',
      makePlainHistory(
        {
          idempotencyKey: 'key',
          answer: { ...baseAnswer, body: { body: { callId: 'call-9' } } },
        },
        1,
      ),
      ViolationKind.WrongAnswer,
    ],
  ])('reports a history with %s', (_, history, kind) => {
    expect(listKinds(history)).toContain(kind);
  });
});
