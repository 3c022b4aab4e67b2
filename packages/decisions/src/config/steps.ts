/** Positions and steps by which a node passes its configuration to another node. */
import { applyEdits } from './edits.js';
import type { ConfigEdits, ConfigState } from './records.js';

/** Identifies a configuration state without its contents. */
export interface ConfigPosition {
  /** Empty when the node holds no configuration. */
  readonly lineage: string;
  readonly through: number;
  readonly version: number;
}

/** The step from one version in force to a later one. */
export interface ConfigStep extends ConfigPosition {
  readonly baseVersion: number;
  readonly throughHash: number | undefined;
  readonly changeId: string;
  readonly author: string;
  readonly edits: ConfigEdits;
}

/** Returns the position of a state. */
export const toPosition = (state: ConfigState | undefined): ConfigPosition => ({
  lineage: state?.lineage ?? '',
  through: state?.through ?? 0,
  version: state?.configuration.version ?? 0,
});

/** Says whether a peer's position is ahead of the current one. */
export const isAhead = (
  current: ConfigPosition,
  remote: ConfigPosition,
): boolean =>
  remote.version > current.version &&
  (current.version === 0 || current.lineage === remote.lineage);

/** Applies a step; `undefined` when it does not follow on from the state. */
export const applyStep = (
  current: ConfigState | undefined,
  step: ConfigStep,
): ConfigState | undefined => {
  const position = toPosition(current);
  if (!isAhead(position, step) || step.baseVersion !== position.version) {
    return undefined;
  }
  const before = current?.configuration;
  if (!before) {
    return undefined;
  }
  return {
    lineage: step.lineage,
    through: step.through,
    throughHash: step.throughHash,
    changeId: step.changeId,
    author: step.author,
    configuration: {
      ...applyEdits(before, step.edits),
      version: step.version,
    },
  };
};
