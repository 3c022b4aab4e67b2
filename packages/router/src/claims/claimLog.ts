/** The claims of an entry, partitioned by key over a few streams of the log. */
import type { ChartMachine } from '@lycheetally/charts';
import { hashText, type Milliseconds } from '@lycheetally/common';
import type { ClaimAttemptContext, ClaimEvent } from './claimContext.js';
import { ClaimStream, type StreamServices } from './claimStream.js';
import { bindReaderChart, type ClaimReader } from './claimReader.js';
import { bindWriterChart, type ClaimWriter } from './claimWriter.js';
import { bindClaimChart } from './claimActions.js';
import type { Result } from '@lycheetally/common';
import type { LogSpan } from '../ports/platform.js';

/** Events of the claims streams on an entry's event loop. */
export interface ClaimLogEvents {
  claimRead: { reader: ClaimReader; read: Result<LogSpan> };
  claimAppended: { writer: ClaimWriter; appended: Result<number> };
}

export interface ClaimSettings {
  /** Number of streams; must be the same at every entry of a region. */
  readonly streams: number;
  /** Time for which a key is kept, in milliseconds. */
  readonly windowMs: Milliseconds;
}

export const defaultClaimSettings: ClaimSettings = {
  streams: 2,
  windowMs: 60 * 60 * 1_000,
};

export class ClaimLog {
  readonly machine: ChartMachine<ClaimAttemptContext, ClaimEvent>;
  private readonly streams: readonly ClaimStream[];

  /** Throws `BadChart` when a chart does not match the actions, guards and delays bound to it. */
  constructor(
    readonly settings: ClaimSettings,
    services: StreamServices,
    now: Milliseconds,
  ) {
    const machines = {
      reader: bindReaderChart().unwrap(),
      writer: bindWriterChart().unwrap(),
    };
    this.machine = bindClaimChart().unwrap();
    this.streams = Array.from(
      { length: settings.streams },
      (_, index) =>
        new ClaimStream(
          machines,
          services,
          `claims-${String(index)}`,
          settings.windowMs,
          now,
        ),
    );
  }

  /** Returns whether every stream has been read to its end and the log is available. */
  get isCurrent(): boolean {
    return this.streams.every(stream => stream.isCurrent);
  }

  start(now: Milliseconds): void {
    for (const stream of this.streams) {
      stream.start(now);
    }
  }

  stop(now: Milliseconds): void {
    for (const stream of this.streams) {
      stream.stop(now);
    }
  }

  /** Returns the stream that holds the records of a key. */
  getStream(key: string): ClaimStream {
    const index = hashText(key) % this.streams.length;
    const stream = this.streams[index];
    if (!stream) {
      throw new Error('The number of claims streams must be at least 1');
    }
    return stream;
  }

  describe(): object {
    return {
      current: this.isCurrent,
      keys: this.streams.reduce((sum, each) => sum + each.index.size, 0),
      appends: this.streams.reduce((sum, each) => sum + each.appends, 0),
    };
  }
}
