/**
 * Records of the log's `config` stream, and the state that results from them.
 *
 * The state depends only on the prefix of the stream, so every node that has
 * read the same prefix holds the same version.
 */
import type { Milliseconds, ValueOf } from '@lycheetally/common';
import type {
  AccountRule,
  FailureDomainRule,
  RankRule,
  RouterConfiguration,
  ServiceRule,
} from '../types.js';

export const ConfigRecordKind = {
  Change: 'change',
  Snapshot: 'snapshot',
} as const;
export type ConfigRecordKind = ValueOf<typeof ConfigRecordKind>;

/** Items of one section that a change adds, replaces or removes, by name. */
export interface SectionEdits<T> {
  readonly put: readonly T[];
  readonly remove: readonly string[];
}

/** The difference between two configurations. */
export interface ConfigEdits {
  readonly ranks: SectionEdits<RankRule>;
  readonly accounts: SectionEdits<AccountRule>;
  readonly services: SectionEdits<ServiceRule>;
  readonly failureDomains?: SectionEdits<FailureDomainRule> | undefined;
}

/** A change that is accepted only on top of the version that it names. */
export interface ConfigChange {
  readonly kind: typeof ConfigRecordKind.Change;
  /** Unique for each publication; a repeated append has the same id. */
  readonly id: string;
  /** Identifies the history of the stream; set by its first change. */
  readonly lineage: string;
  /** The version that the change builds on; 0 for the first change. */
  readonly base: number;
  readonly author: string;
  /** The publisher's time, in milliseconds; informational. */
  readonly publishedAt: Milliseconds;
  readonly edits: ConfigEdits;
}

/** A configuration and its position in the stream. */
export interface ConfigState {
  readonly lineage: string;
  /** Offset of the last record that the state includes. */
  readonly through: number;
  /** Hash of the record at `through`; `undefined` when it was not seen. */
  readonly throughHash?: number | undefined;
  /** The change that made the version in force. */
  readonly changeId: string;
  readonly author: string;
  readonly configuration: RouterConfiguration;
}

/** The state at an offset, for readers whose next record was trimmed. */
export interface ConfigSnapshot {
  readonly kind: typeof ConfigRecordKind.Snapshot;
  readonly state: ConfigState;
}

export type ConfigRecord = ConfigChange | ConfigSnapshot;

/** A record and its offset; `record` is `undefined` when it cannot be read. */
export interface StreamRecord {
  readonly offset: number;
  /** Hash of the record's bytes. */
  readonly hash: number;
  readonly record: ConfigRecord | undefined;
}

/** A span of the stream, as read from the log. */
export interface StreamSpan {
  /** Offset from which the span was requested. */
  readonly from: number;
  /** Offset of the oldest record that the log still has. */
  readonly first: number;
  /** Offset that follows the last record of the span. */
  readonly next: number;
  readonly records: readonly StreamRecord[];
}
