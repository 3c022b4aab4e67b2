/** Every reader of the configuration stream reaches the same state. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { hashText } from '@lycheetally/common';
import {
  ConditionalAcceptance,
  ConfigRecordKind,
  ReplayStatus,
  ConfigVerdict,
  LastWriterWinsAcceptance,
  applySpan,
  applyStep,
  computeEdits,
  toPosition,
  type ConfigAcceptance,
  type ConfigDecision,
  type ConfigRecord,
  type ConfigState,
  type StreamRecord,
  type StreamSpan,
  type RouterConfiguration,
} from '../src/index.js';

const runOptions = { seed: 61, numRuns: 300 };
const acceptance = new ConditionalAcceptance();

const buildConfiguration = (targetMs: number): RouterConfiguration => ({
  version: 1,
  ranks: [{ name: 'family', urgency: 0, floor: 0.5, targetMs }],
  accounts: [],
  services: [],
});

const emptySection = { put: [], remove: [] };

const createChange = (
  id: string,
  base: number,
  lineage = 'a',
): ConfigRecord => ({
  kind: ConfigRecordKind.Change,
  id,
  lineage,
  base,
  author: `author of ${id}`,
  publishedAt: 0,
  edits: {
    ranks: { put: buildConfiguration(base + 1).ranks, remove: [] },
    accounts: emptySection,
    services: emptySection,
  },
});

const toStreamRecord = (
  record: ConfigRecord | undefined,
  offset: number,
): StreamRecord => ({
  offset,
  hash: hashText(JSON.stringify(record) + String(offset)),
  record,
});

/** A record that an operator, a fault or a node may append. */
const recordArbitrary = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('next'),
      back: fc.nat({ max: 1 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('broken'), back: fc.constant(0) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('other-lineage'),
      back: fc.constant(0),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('repeat'), back: fc.constant(0) }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('snapshot'),
      back: fc.nat({ max: 3 }),
    }),
  },
);

/** Builds a stream and the state after each of its records. */
const buildStream = (
  plan: readonly { kind: string; back: number }[],
): { records: StreamRecord[]; states: (ConfigState | undefined)[] } => {
  const records: StreamRecord[] = [];
  const states: (ConfigState | undefined)[] = [];
  plan.forEach(({ kind, back }, offset) => {
    const state = states.at(-1);
    const version = state?.configuration.version ?? 0;
    const base = Math.max(0, version - back);
    const earlierState = states[offset - 1 - back];
    const byKind: Record<string, () => ConfigRecord | undefined> = {
      next: () => createChange(`change-${String(offset)}`, base),
      broken: () => undefined,
      'other-lineage': () => createChange('foreign', version, 'b'),
      repeat: () =>
        records.findLast(({ record }) => record?.kind === 'change')?.record,
      snapshot: () =>
        earlierState && {
          kind: ConfigRecordKind.Snapshot,
          state: earlierState,
        },
    };
    const streamRecord = toStreamRecord(byKind[kind]?.(), offset);
    records.push(streamRecord);
    states.push(acceptance.decideRecord(state, streamRecord).state);
  });
  return { records, states };
};

const readSpan = (
  records: readonly StreamRecord[],
  from: number,
  first: number,
  limit: number,
): StreamSpan => {
  const start = Math.max(from, first);
  const read = records.slice(start, start + limit);
  const next = (read.at(-1)?.offset ?? Math.max(from, records.length) - 1) + 1;
  return { from, first, next, records: read };
};

describe('the configuration stream', () => {
  it('accepts one change for each base version, in offset order', () => {
    fc.assert(
      fc.property(fc.array(recordArbitrary, { maxLength: 30 }), plan => {
        const { records } = buildStream(plan);
        const accepted = countAccepted(acceptance, records);
        expect(accepted.every(count => count === 1)).toBe(true);
      }),
      runOptions,
    );
  });

  it('accepts both of two racing changes without the condition', () => {
    const records = [
      toStreamRecord(createChange('one', 0), 0),
      toStreamRecord(createChange('two', 0), 1),
    ];
    expect(countAccepted(acceptance, records)).toEqual([1]);
    expect(countAccepted(new LastWriterWinsAcceptance(), records)).toEqual([2]);
  });

  it('reaches the same state with any page size, and never an older version', () => {
    fc.assert(
      fc.property(
        fc.array(recordArbitrary, { maxLength: 30 }),
        fc.array(fc.integer({ min: 2, max: 7 }), { minLength: 1 }),
        (plan, pages) => {
          const { records, states } = buildStream(plan);
          let state: ConfigState | undefined;
          let cursor = 0;
          for (let round = 0; round < 60; round += 1) {
            const limit = pages[round % pages.length] ?? 2;
            const before = state?.configuration.version ?? 0;
            const replay = applySpan(
              acceptance,
              state,
              readSpan(records, cursor, 0, limit),
            );
            ({ state, cursor } = replay);
            expect(replay.status).toBe(ReplayStatus.Current);
            expect(state?.configuration.version ?? 0).toBeGreaterThanOrEqual(
              before,
            );
          }
          expect(state?.configuration).toEqual(states.at(-1)?.configuration);
        },
      ),
      runOptions,
    );
  });

  it('recovers to the same state after records were trimmed, or reports that it is behind', () => {
    const seen = { current: 0, behind: 0 };
    fc.assert(
      fc.property(
        fc.array(recordArbitrary, { minLength: 4, maxLength: 30 }),
        fc.nat(),
        fc.nat(),
        (plan, heldSeed, trimSeed) => {
          const { records, states } = buildStream(plan);
          const held = states[heldSeed % (records.length + 1)];
          const first = trimSeed % (records.length + 1);
          let state = held;
          let cursor = held?.through ?? 0;
          let status: ReplayStatus = ReplayStatus.Current;
          for (let round = 0; round < 40; round += 1) {
            const span = readSpan(records, cursor, first, 3);
            ({ state, cursor, status } = applySpan(acceptance, state, span));
          }
          if (status === ReplayStatus.Current) {
            expect(state?.configuration).toEqual(states.at(-1)?.configuration);
            seen.current += 1;
          } else {
            expect(status).toBe(ReplayStatus.Behind);
            expect(state).toEqual(held);
            seen.behind += 1;
          }
        },
      ),
      runOptions,
    );
    expect(Math.min(seen.current, seen.behind)).toBeGreaterThan(10);
  });

  it('detects a log that lost its tail or holds other records', () => {
    const { records, states } = buildStream(
      Array.from({ length: 5 }, () => ({ kind: 'next', back: 0 })),
    );
    const own = states[4];
    const shorter = readSpan(records.slice(0, 3), 4, 0, 10);
    expect(applySpan(acceptance, own, shorter).status).toBe('diverged');
    const replaced = [
      ...records.slice(0, 4),
      toStreamRecord(createChange('x', 4), 4),
    ];
    const span = readSpan(replaced, 4, 0, 10);
    const replay = applySpan(acceptance, own, span);
    expect(replay.status).toBe('diverged');
    expect(replay.state).toBe(own);
  });

  it('skips a change whose result is invalid', () => {
    const broken = createChange('broken', 0);
    const record = {
      ...broken,
      edits: {
        ranks: { put: [], remove: [] },
        accounts: emptySection,
        services: emptySection,
      },
    } as ConfigRecord;
    const decision = acceptance.decideRecord(
      undefined,
      toStreamRecord(record, 0),
    );
    expect(decision.verdict).toBe(ConfigVerdict.Invalid);
    expect(decision.reason).toContain('there is no rank');
  });

  it('advances a reader to a later version by a step, and never to an earlier one', () => {
    fc.assert(
      fc.property(
        fc.array(recordArbitrary, { minLength: 2, maxLength: 20 }),
        fc.nat(),
        fc.nat(),
        (plan, fromSeed, toSeed) => {
          const states = buildStream(plan).states.filter(
            each => each !== undefined,
          );
          const from = states[fromSeed % Math.max(1, states.length)];
          const to = states[toSeed % Math.max(1, states.length)];
          if (!from || !to) {
            return;
          }
          const step = {
            ...toPosition(to),
            baseVersion: from.configuration.version,
            throughHash: to.throughHash,
            changeId: to.changeId,
            author: to.author,
            edits: computeEdits(from.configuration, to.configuration),
          };
          const next = applyStep(from, step);
          const isForward =
            to.configuration.version > from.configuration.version;
          expect(next).toEqual(isForward ? to : undefined);
        },
      ),
      runOptions,
    );
  });
});

/** Counts the accepted changes for each base version. */
const countAccepted = (
  rule: ConfigAcceptance,
  records: readonly StreamRecord[],
): number[] => {
  const accepted = new Map<number, number>();
  let state: ConfigState | undefined;
  for (const streamRecord of records) {
    const decision: ConfigDecision = rule.decideRecord(state, streamRecord);
    state = decision.state;
    if (decision.verdict === ConfigVerdict.Accepted && decision.change) {
      const { base } = decision.change;
      accepted.set(base, (accepted.get(base) ?? 0) + 1);
    }
  }
  return [...accepted.values()];
};
