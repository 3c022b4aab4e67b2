/** The merged timeline keeps causes before effects and escapes hostile text. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { toWallTime, type EventRecord } from '@lycheetally/common';
import {
  EventLog,
  TimelineFormat,
  explainRequest,
  filterEvents,
  formatTimeline,
  mergeTimeline,
  toPrintable,
  type ProcessAnswer,
  type Timeline,
} from '../src/index.js';

const processCount = 4;

const stepArbitrary = fc.record({
  from: fc.nat(processCount - 1),
  to: fc.nat(processCount - 1),
  elapsed: fc.nat(3),
});

interface SimulatedRun {
  readonly answers: ProcessAnswer[];
  /** Event kinds, each with the kinds of all events that happened before it. */
  readonly causes: Map<string, Set<string>>;
}

/** Sends messages between processes with skewed clocks and records the causal order. */
const runProcesses = (
  skews: readonly number[],
  steps: readonly { from: number; to: number; elapsed: number }[],
): SimulatedRun => {
  const logs = skews.map((_, index) => new EventLog(`p${String(index)}`));
  const known = skews.map(() => new Set<string>());
  const causes = new Map<string, Set<string>>();
  let time = 1_000_000;
  const record = (process: number, kind: string): void => {
    const seen = known[process] ?? new Set<string>();
    causes.set(kind, new Set(seen));
    seen.add(kind);
    logs[process]?.record(kind, time + (skews[process] ?? 0));
  };
  steps.forEach(({ from, to, elapsed }, index) => {
    time += elapsed;
    record(from, `send-${String(index)}`);
    const timestamp =
      logs[from]?.createTimestamp(time + (skews[from] ?? 0)) ?? 0;
    logs[to]?.observeTimestamp(timestamp);
    known[from]?.forEach(kind => known[to]?.add(kind));
    record(to, `receive-${String(index)}`);
  });
  const answers = logs.map((log, index) => ({
    address: `127.0.0.1:${String(index + 1)}`,
    clockOffsetMs: skews[index] ?? 0,
    page: {
      process: `p${String(index)}`,
      incarnation: '',
      now: 0,
      overwritten: 0,
      events: log.list().map(event => ({ ...event, detail: undefined })),
    },
  }));
  return { answers, causes };
};

const findInversion = (
  events: readonly EventRecord[],
  causes: SimulatedRun['causes'],
): string | undefined => {
  const seen = new Set<string>();
  for (const { kind } of events) {
    const missing = [...(causes.get(kind) ?? [])].find(
      cause => !seen.has(cause),
    );
    if (missing !== undefined) {
      return `${kind} before ${missing}`;
    }
    seen.add(kind);
  }
  return undefined;
};

describe('mergeTimeline', () => {
  it('puts every cause before its effects under any clock skew', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: -5_000, max: 5_000 }), {
          minLength: processCount,
          maxLength: processCount,
        }),
        fc.array(stepArbitrary, { maxLength: 60 }),
        (skews, steps) => {
          const { answers, causes } = runProcesses(skews, steps);
          const { events } = mergeTimeline(answers);
          expect(events).toHaveLength(causes.size);
          expect(findInversion(events, causes)).toBeUndefined();
        },
      ),
      { seed: 11, numRuns: 300 },
    );
  });

  it('is needed because sorting by wall clock puts effects before causes', () => {
    const skews = [0, -900, 0, 0];
    const { answers, causes } = runProcesses(skews, [
      { from: 0, to: 1, elapsed: 1 },
    ]);
    const byClock = [...mergeTimeline(answers).events].sort(
      (a, b) => readClock(a, skews) - readClock(b, skews),
    );
    expect(findInversion(byClock, causes)).toBe('receive-0 before send-0');
  });

  it('keeps a process that did not answer in every format', () => {
    const timeline = mergeTimeline([
      { address: '127.0.0.1:9', fault: 'connection refused' },
    ]);
    for (const format of Object.values(TimelineFormat)) {
      const text = formatTimeline(timeline, format);
      expect(text).toContain('127.0.0.1:9');
    }
    expect(formatTimeline(timeline, TimelineFormat.Text)).toContain(
      'DID NOT ANSWER: connection refused',
    );
    expect(explainRequest(timeline, 'r')[1]).toContain('127.0.0.1:9');
  });
});

// Time of an event by the wall clock of its process, without the hybrid clock.
const readClock = (event: EventRecord, skews: readonly number[]): number =>
  event.kind.startsWith('receive')
    ? 1_000_001 + (skews[Number(event.process.slice(1))] ?? 0)
    : toWallTime(event.stamp);

const hostileArbitrary = fc.oneof(
  fc.string({ unit: 'binary', maxLength: 80 }),
  fc.constantFrom(
    '</title><script>alert(1)</script>',
    '" onload="alert(1)',
    "'><img src=x onerror=alert(1)>",
    '\u001b[2J\u001b]0;owned\u0007',
    'line\r\nforged line',
    '\u202egnp.exe',
    '\ud800',
    '&#x3c;b&#x3e;',
  ),
);

const createHostileTimeline = (
  texts: readonly [string, string, string],
): Timeline =>
  mergeTimeline([
    { address: '127.0.0.1:1', fault: texts[0] },
    {
      address: '127.0.0.1:2',
      clockOffsetMs: 0,
      page: {
        process: texts[1],
        incarnation: '',
        now: 0,
        overwritten: 0,
        events: [
          {
            stamp: 4_096,
            process: texts[1],
            kind: 'request-accepted',
            requestId: texts[2],
            detail: { callerRequestId: texts[0], account: texts[2] },
          },
        ],
      },
    },
  ]);

describe('hostile text', () => {
  it('does not break the HTML page, the text lines or the trace', () => {
    fc.assert(
      fc.property(
        fc.tuple(hostileArbitrary, hostileArbitrary, hostileArbitrary),
        texts => {
          const timeline = createHostileTimeline(texts);
          const page = formatTimeline(timeline, TimelineFormat.Html);
          const plain = formatTimeline(
            createHostileTimeline(['a', 'b', 'c']),
            TimelineFormat.Html,
          );
          expect(listTags(page)).toEqual(listTags(plain));
          const text = formatTimeline(timeline, TimelineFormat.Text);
          expect(text.split('\n')).toHaveLength(4);
          expect(text.replaceAll('\n', '')).not.toMatch(/\p{Cc}/u);
          const trace = formatTimeline(timeline, TimelineFormat.Trace);
          expect(() => JSON.parse(trace) as unknown).not.toThrow();
          expect(explainRequest(timeline, texts[2]).join('')).not.toMatch(
            /\p{Cc}/u,
          );
        },
      ),
      { seed: 12, numRuns: 500 },
    );
  });

  it('is truncated when it is long', () => {
    expect(toPrintable('x'.repeat(100_000)).length).toBeLessThan(600);
  });
});

// The tags are compared with their attributes; text between tags is ignored.
const listTags = (page: string): string[] =>
  [...page.matchAll(/<[^>]*>/g)].map(match => match[0]);

describe('filterEvents', () => {
  it("finds a request by its caller's own id", () => {
    const log = new EventLog('entry-1');
    const detail = { callerRequestId: 'mine' };
    log.record('request-accepted', 1, { requestId: 'e.1', detail });
    log.record('request-ended', 2, { requestId: 'e.1' });
    log.record('request-ended', 3, { requestId: 'e.2' });
    const kinds = filterEvents(log.list(), { request: 'mine' }).map(
      event => `${event.kind} ${String(event.requestId)}`,
    );
    expect(kinds).toEqual(['request-accepted e.1', 'request-ended e.1']);
  });
});
