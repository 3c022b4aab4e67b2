/** Counts what a soak asked of its streams, so that a run that found nothing shows what it could have found. */
import { countBy } from '../load/reconcile.js';
import { SoakKind, type SoakCall, type SoakRun } from './types.js';

export interface StreamCounts {
  readonly streams: number;
  /** Calls that resumed a stream. */
  readonly resumes: number;
  /** Second runs that gateways started beside silent ones. */
  readonly secondRuns: number;
  /** Runs by how their servers meant to delimit and end the answer. */
  readonly endings: Readonly<Record<string, number>>;
}

export const countStreams = (
  calls: readonly SoakCall[],
  runs: readonly SoakRun[],
  secondRuns: number,
): StreamCounts => {
  const streams = calls.filter(({ kind }) => kind === SoakKind.Stream);
  const first = streams.filter(({ requestId, streamId }) =>
    [streamId, `${streamId}-0`].includes(requestId),
  );
  return {
    streams: first.length,
    resumes: streams.length - first.length,
    secondRuns,
    endings: countBy(runs.flatMap(({ ending }) => ending ?? [])),
  };
};
