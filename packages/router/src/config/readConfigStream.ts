/** Reads the configuration stream to its end, for operators' commands. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Result,
} from '@lycheetally/common';
import {
  ReplayStatus,
  applySpan,
  type ConfigAcceptance,
  type ConfigDecision,
  type ConfigState,
} from '@lycheetally/decisions';
import type { LogPort } from '../ports/platform.js';
import { configStream, decodeSpan } from './recordCodec.js';

/** The state at the end of the stream and the decision on each record. */
export interface StreamReplay {
  readonly state: ConfigState | undefined;
  readonly decisions: readonly ConfigDecision[];
}

/**
 * Replays the stream from a state to its end. Fails with
 * `PlatformUnavailable`, or with `ConfigOutcomeUnknown` when the stream does not
 * continue the state because records were trimmed or replaced.
 */
export const readConfigStream = async (
  log: LogPort,
  acceptance: ConfigAcceptance,
  from: ConfigState | undefined,
): Promise<Result<StreamReplay>> => {
  let state = from;
  let cursor = from?.through ?? 0;
  let status: ReplayStatus = ReplayStatus.Current;
  const decisions: ConfigDecision[] = [];
  for (;;) {
    const span = await log.read(configStream, cursor);
    if (span.err) {
      return Err(span.val);
    }
    const replay = applySpan(acceptance, state, decodeSpan(cursor, span.val));
    const isEnd = replay.cursor === cursor && replay.state === state;
    decisions.push(...replay.decisions);
    ({ state, cursor, status } = replay);
    if (isEnd || status === ReplayStatus.Diverged) {
      break;
    }
  }
  return status === ReplayStatus.Current
    ? Ok({ state, decisions })
    : Err(createReplayError(status));
};

const createReplayError = (status: ReplayStatus): TypedError =>
  new TypedError(
    ErrorKind.ConfigOutcomeUnknown,
    status === ReplayStatus.Behind
      ? 'the log has trimmed the start of the configuration stream and holds no snapshot'
      : 'the log was replaced or has lost records since it was last read',
    'start an entry that holds the configuration, so that it appends a snapshot',
  );
