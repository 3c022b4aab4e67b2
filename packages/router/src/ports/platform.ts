/** The platform's log service and VM list. */
import type { Result, ValueOf } from '@lycheetally/common';

/** A record of a stream, with its offset. */
export interface LogRecord {
  readonly offset: number;
  readonly value: string;
}

/** Consecutive records of a stream. */
export interface LogSpan {
  /** Offset of the oldest record that the log still keeps. */
  readonly first: number;
  /** Offset that the next record will get. */
  readonly next: number;
  readonly records: readonly LogRecord[];
}

/** The append-only log. Every call fails with `PlatformUnavailable`. */
export abstract class LogPort {
  /** Reads records, starting at an offset. */
  abstract read(stream: string, from: number): Promise<Result<LogSpan>>;
  /** Appends records together; returns the offset of the first. */
  abstract append(
    stream: string,
    values: readonly string[],
  ): Promise<Result<number>>;
}

export const VmState = { Live: 'live', Leaving: 'leaving' } as const;
export type VmState = ValueOf<typeof VmState>;

/** One VM of the list. */
export interface VmRecord {
  readonly vmId: string;
  readonly agentAddress: string;
  readonly failureDomain: string;
  readonly state: VmState;
}

/** The VM list. Fails with `PlatformUnavailable`. */
export abstract class VmListPort {
  abstract readVms(): Promise<Result<readonly VmRecord[]>>;
}
