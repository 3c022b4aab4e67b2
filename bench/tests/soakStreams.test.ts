/** The check of a soak finds streams and answers that are joined, torn or ended too early. */
import { describe, expect, it } from 'vitest';
import { SoakKind, type SoakCall } from '../src/index.js';
import {
  allEvents,
  call,
  findViolations,
  formatEvents,
  run,
} from './soakHistory.js';

const whole: SoakCall = {
  ...call,
  kind: SoakKind.Stream,
  answer: formatEvents(allEvents),
};
const cut: SoakCall = {
  ...whole,
  answer: formatEvents([1, 2, 3]),
  isComplete: false,
};
const first = { ...run, kind: SoakKind.Stream };
const second = { ...first, serverId: 'i-2', mark: 'i-2.1' };
const join = (...parts: readonly [mark: string, ...at: number[]][]): string =>
  parts.map(([mark, ...at]) => formatEvents(at, mark)).join('');

const isContinuous = 'a stream has no gap and no repeat';
const isInTurn = 'a stream has the events of its runs, one run after the other';
const hasItsHead = 'the head of a stream is that of the run of its first event';
const isWholeAtEnd = 'a stream ends as complete after its last event only';

describe('the check of a stream', () => {
  it.each<[string, Partial<SoakCall>, string[]]>([
    ['that ends early and looks whole', { isComplete: true }, [isWholeAtEnd]],
    [
      'that ends inside an event and looks whole',
      { isComplete: true, answer: whole.answer.slice(0, -4) },
      [isWholeAtEnd],
    ],
    ['that breaks inside an event', { answer: whole.answer.slice(0, 45) }, []],
    [
      'with other bytes at its end',
      { answer: `${cut.answer}id: 9` },
      [isContinuous],
    ],
    [
      'with an event after its last one',
      { answer: formatEvents([...allEvents, allEvents.length + 1]) },
      [isContinuous],
    ],
    ['with a repeat', { answer: formatEvents([1, 2, 2]) }, [isContinuous]],
    [
      'with an event of another answer',
      { answer: `${cut.answer}id: 4\ndata: other\n\n` },
      [isContinuous],
    ],
    ['with the head of the other run', { signature: 'i-2.1' }, [hasItsHead]],
    [
      'with the head of no run',
      { answer: '', signature: 'i-3.1' },
      [hasItsHead],
    ],
    [
      'of one run after the other',
      { answer: join(['i-1.1', 1, 2], ['i-2.1', 3]) },
      [],
    ],
    [
      'of two runs that take turns',
      { answer: join(['i-1.1', 1], ['i-2.1', 2], ['i-1.1', 3]) },
      [isInTurn],
    ],
    [
      'with events of a run of another call',
      { answer: join(['i-1.1', 1, 2], ['i-3.7', 3]) },
      [isInTurn],
    ],
  ])('judges one %s', (_, changes, promises) => {
    const recorded = { ...cut, ...changes };
    expect(findViolations([recorded], [first, second])).toEqual(promises);
  });

  const rest = allEvents.slice(3);

  it.each<[string, number, readonly number[], number]>([
    ['without a gap', 3, rest, 0],
    ['with a gap in its second part', 3, rest.slice(1), 3],
    ['after an event that its caller lacks', 4, rest.slice(1), 1],
  ])('judges one that was resumed %s', (_, afterEvent, events, count) => {
    const answer = formatEvents(events).replaceAll('r-1-', 'r-2-');
    const resumed = { ...whole, requestId: 'r-2', afterEvent, answer };
    const runs = [first, { ...first, requestId: 'r-2' }];
    expect(findViolations([cut, resumed], runs)).toHaveLength(count);
  });
});

describe('the check of an answer that is no stream', () => {
  const lookup = { ...call, kind: SoakKind.Lookup };
  const lookupRun = { ...run, kind: SoakKind.Lookup };

  it.each([
    ['with the head of another run', { signature: 'i-2.1' }],
    ['that is a part and looks whole', { answer: 'ans' }],
  ])('finds one %s', (_, changes) => {
    const other = { ...lookupRun, mark: 'i-2.1', answer: 'other' };
    const runs = [lookupRun, other];
    expect(findViolations([{ ...lookup, ...changes }], runs)).toEqual([
      'a complete success is an answer of the server',
    ]);
  });
});
