/**
 * Decides which records of the `config` stream take effect.
 *
 * A change is accepted, in offset order, only when the version that it builds
 * on is the current one. Every reader skips the same invalid records, because a
 * decision depends only on the prefix of the stream.
 */
import type { ValueOf } from '@lycheetally/common';
import type { RouterConfiguration } from '../types.js';
import { checkConfiguration } from './checks.js';
import { applyEdits, emptyConfiguration } from './edits.js';
import {
  ConfigRecordKind,
  type ConfigChange,
  type ConfigState,
  type StreamRecord,
} from './records.js';

export const ConfigVerdict = {
  /** The change is in force. */
  Accepted: 'accepted',
  /** The change was accepted before and has been appended again. */
  Repeated: 'repeated',
  /** The version that the change builds on is not the current one. */
  Conflict: 'conflict',
  /** The change belongs to another history of the stream. */
  OtherLineage: 'other-lineage',
  /** The record cannot be read, or the resulting configuration is invalid. */
  Invalid: 'invalid',
  /** A snapshot, which changes nothing for a reader that has read every record before it. */
  Snapshot: 'snapshot',
} as const;
export type ConfigVerdict = ValueOf<typeof ConfigVerdict>;

/** The verdict on a record and the state after it. */
export interface ConfigDecision {
  readonly offset: number;
  readonly verdict: ConfigVerdict;
  readonly reason: string;
  readonly change: ConfigChange | undefined;
  /** The state after the record; `undefined` before the first change. */
  readonly state: ConfigState | undefined;
}

/** Strategy that decides which changes take effect. */
export abstract class ConfigAcceptance {
  /** Decides on the record that follows the state. */
  decideRecord(
    state: ConfigState | undefined,
    streamRecord: StreamRecord,
  ): ConfigDecision {
    const { record } = streamRecord;
    if (record?.kind === ConfigRecordKind.Change) {
      return this.decideChange(state, record, streamRecord);
    }
    const verdict = record ? ConfigVerdict.Snapshot : ConfigVerdict.Invalid;
    const reason = record ? '' : 'the record cannot be read';
    return {
      ...advanceState(state, streamRecord),
      verdict,
      reason,
      change: undefined,
    };
  }

  private decideChange(
    state: ConfigState | undefined,
    change: ConfigChange,
    streamRecord: StreamRecord,
  ): ConfigDecision {
    const refusal = this.checkChange(state, change);
    if (refusal) {
      return { ...advanceState(state, streamRecord), ...refusal, change };
    }
    const before = state?.configuration ?? emptyConfiguration;
    const configuration = applyEdits(before, change.edits);
    const faults = describeFaults(configuration);
    if (faults !== '') {
      const verdict = ConfigVerdict.Invalid;
      return {
        ...advanceState(state, streamRecord),
        verdict,
        reason: faults,
        change,
      };
    }
    return {
      offset: streamRecord.offset,
      verdict: ConfigVerdict.Accepted,
      reason: '',
      change,
      state: {
        lineage: change.lineage,
        through: streamRecord.offset,
        throughHash: streamRecord.hash,
        changeId: change.id,
        author: change.author,
        configuration,
      },
    };
  }

  /** Returns the verdict on a change that is not accepted; `undefined` to accept it. */
  protected abstract checkChange(
    state: ConfigState | undefined,
    change: ConfigChange,
  ): { verdict: ConfigVerdict; reason: string } | undefined;
}

/** Accepts a change only on top of the version that it names. */
export class ConditionalAcceptance extends ConfigAcceptance {
  protected override checkChange(
    state: ConfigState | undefined,
    change: ConfigChange,
  ): { verdict: ConfigVerdict; reason: string } | undefined {
    const current = state?.configuration.version ?? 0;
    if (state?.changeId === change.id) {
      return { verdict: ConfigVerdict.Repeated, reason: 'appended twice' };
    }
    if (change.base !== current) {
      const by = state ? ` by ${state.author}` : '';
      return {
        verdict: ConfigVerdict.Conflict,
        reason: `it builds on version ${String(change.base)}, but version ${String(current)}${by} is current`,
      };
    }
    if (state && state.lineage !== change.lineage) {
      const reason = `lineage ${change.lineage} is not ${state.lineage}`;
      return { verdict: ConfigVerdict.OtherLineage, reason };
    }
    return undefined;
  }
}

/** Accepts every change, so that the last writer wins; a baseline for comparison. */
export class LastWriterWinsAcceptance extends ConfigAcceptance {
  protected override checkChange(): undefined {
    return undefined;
  }
}

// Offset and hash advance past skipped records too, so that the next read can begin at this record.
const advanceState = (
  state: ConfigState | undefined,
  streamRecord: StreamRecord,
): Pick<ConfigDecision, 'offset' | 'state'> => ({
  offset: streamRecord.offset,
  state: state && {
    ...state,
    through: streamRecord.offset,
    throughHash: streamRecord.hash,
  },
});

const describeFaults = (configuration: RouterConfiguration): string =>
  checkConfiguration(configuration)
    .map(({ section, key, fault }) => `[${section}] ${key}: ${fault}`)
    .join(', ');
