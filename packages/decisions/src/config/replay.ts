/**
 * Replays spans of the `config` stream over a state.
 *
 * A reader that joins, or joins again after a fault, requests the records from
 * the last one that it has applied, inclusive. If the log has lost its tail or
 * was replaced, that record is missing or differs. This overlap is the inclusive
 * replay of the paper on write-log recovery that the project cites as "the
 * supplied paper". A reader that keeps up reads from the next record instead,
 * since the overlap costs one record per read.
 */
import type { ValueOf } from '@lycheetally/common';
import {
  ConfigVerdict,
  type ConfigAcceptance,
  type ConfigDecision,
} from './acceptance.js';
import {
  ConfigRecordKind,
  type ConfigState,
  type StreamSpan,
} from './records.js';

/** The state of a reader relative to the log. */
export const ReplayStatus = {
  /** Every record up to the end of the span has been applied. */
  Current: 'current',
  /** Records were trimmed before they were read, and no snapshot replaces them. */
  Behind: 'behind',
  /** The history in the log differs from that of the reader. */
  Diverged: 'diverged',
} as const;
export type ReplayStatus = ValueOf<typeof ReplayStatus>;

/** The outcome of a replay. */
export interface ConfigReplay {
  readonly status: ReplayStatus;
  readonly state: ConfigState | undefined;
  readonly decisions: readonly ConfigDecision[];
  /** Offset from which to read next. */
  readonly cursor: number;
}

/** Replays a span over a state. */
export const applySpan = (
  acceptance: ConfigAcceptance,
  current: ConfigState | undefined,
  span: StreamSpan,
): ConfigReplay => {
  if (current && hasDiverged(current, span)) {
    const status = ReplayStatus.Diverged;
    return { status, state: current, decisions: [], cursor: current.through };
  }
  const from = current ? current.through + 1 : 0;
  if (span.first <= from) {
    return applyRecords(acceptance, current, from, span);
  }
  const snapshotState = findSnapshot(current, span);
  if (snapshotState) {
    const status = ReplayStatus.Current;
    return {
      status,
      state: snapshotState,
      decisions: [],
      cursor: snapshotState.through,
    };
  }
  const status = ReplayStatus.Behind;
  return { status, state: current, decisions: [], cursor: span.next };
};

const applyRecords = (
  acceptance: ConfigAcceptance,
  base: ConfigState | undefined,
  from: number,
  span: StreamSpan,
): ConfigReplay => {
  let state = base;
  const decisions: ConfigDecision[] = [];
  for (const streamRecord of span.records) {
    if (streamRecord.offset >= from) {
      const decision = acceptance.decideRecord(state, streamRecord);
      state = decision.state;
      decisions.push(decision);
    }
  }
  const status = ReplayStatus.Current;
  const cursor = state ? state.through + 1 : span.next;
  return { status, state, decisions, cursor };
};

const hasDiverged = (current: ConfigState, span: StreamSpan): boolean => {
  if (span.from >= current.through && span.next <= current.through) {
    return true;
  }
  const lastApplied = span.records.find(
    ({ offset }) => offset === current.through,
  );
  return (
    lastApplied !== undefined &&
    current.throughHash !== undefined &&
    lastApplied.hash !== current.throughHash
  );
};

// A snapshot replaces the trimmed records only if the log still has every record after it.
const findSnapshot = (
  current: ConfigState | undefined,
  span: StreamSpan,
): ConfigState | undefined =>
  span.records
    .flatMap(({ record }) =>
      record?.kind === ConfigRecordKind.Snapshot ? [record.state] : [],
    )
    .find(
      state =>
        state.through + 1 >= span.first &&
        state.through < span.next &&
        isNewer(current, state),
    );

/** Says whether a state from another node may replace the local one. */
export const isNewer = (
  current: ConfigState | undefined,
  other: ConfigState,
): boolean =>
  current === undefined ||
  (current.lineage === other.lineage &&
    other.through > current.through &&
    other.configuration.version >= current.configuration.version);

/** Finds the decision on a change; `undefined` when the change was not read. */
export const findDecision = (
  decisions: readonly ConfigDecision[],
  changeId: string,
): ConfigDecision | undefined => {
  const matching = decisions.filter(({ change }) => change?.id === changeId);
  return (
    matching.find(({ verdict }) => verdict === ConfigVerdict.Accepted) ??
    matching[0]
  );
};
