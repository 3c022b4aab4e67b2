/** One claims stream: its index, its reader and its writer. */
import type { Milliseconds } from '@lycheetally/common';
import type { AnyClaimRecord, KeyState } from '@lycheetally/decisions';
import { ClaimIndex, type KeyWatcher } from './claimIndex.js';
import {
  ClaimReader,
  ReaderListener,
  type ReaderMachine,
  type ReaderServices,
} from './claimReader.js';
import {
  ClaimWriter,
  type WaitingRecord,
  type WriterMachine,
  type WriterServices,
} from './claimWriter.js';

export interface StreamMachines {
  readonly reader: ReaderMachine;
  readonly writer: WriterMachine;
}

export type StreamServices = ReaderServices &
  Omit<WriterServices, 'requestRead' | 'requestReadBack'>;

export class ClaimStream extends ReaderListener {
  readonly index: ClaimIndex;
  private readonly reader: ClaimReader;
  private readonly writer: ClaimWriter;

  constructor(
    machines: StreamMachines,
    services: StreamServices,
    name: string,
    windowMs: Milliseconds,
    now: Milliseconds,
  ) {
    super();
    this.index = new ClaimIndex(windowMs);
    this.reader = new ClaimReader(
      machines.reader,
      services,
      name,
      this.index,
      this,
    );
    const writerServices: WriterServices = {
      ...services,
      requestRead: (offset, later) => {
        this.reader.requestRead(offset, later);
      },
      requestReadBack: later => this.requestReadBack(later),
    };
    this.writer = new ClaimWriter(machines.writer, writerServices, name, now);
  }

  get isCurrent(): boolean {
    return this.reader.isCurrent;
  }

  /** Appends sent since the start. */
  get appends(): number {
    return this.writer.appends;
  }

  start(now: Milliseconds): void {
    this.reader.start(now);
  }

  stop(now: Milliseconds): void {
    this.reader.stop(now);
  }

  getState(key: string): KeyState | undefined {
    return this.index.getState(key);
  }

  addWatcher(key: string, watcher: KeyWatcher): void {
    this.index.addWatcher(key, watcher);
  }

  removeWatcher(key: string, watcher: KeyWatcher): void {
    this.index.removeWatcher(key, watcher);
  }

  enqueue(waiting: WaitingRecord, now: Milliseconds): void {
    this.writer.enqueue(waiting, now);
  }

  /** Appends the end of a claim; a failed append is repeated until the end is in the log. */
  appendEnd(
    record: Extract<AnyClaimRecord, { kind: 'end' }>,
    now: Milliseconds,
  ): void {
    const isSettled = (): boolean => {
      const state = this.index.getState(record.key);
      return (
        state?.end !== undefined || state?.claim.claimId !== record.claimId
      );
    };
    this.enqueue({ record, isSettled, handleMissing: () => false }, now);
  }

  override handleCurrent(now: Milliseconds): void {
    this.writer.handleReadBack(now);
  }

  override handleReadBack(now: Milliseconds): void {
    this.writer.handleReadBack(now);
  }

  override handleDown(now: Milliseconds): void {
    this.writer.handleDown(now);
  }

  private requestReadBack(now: Milliseconds): boolean {
    if (this.reader.isDown) {
      return false;
    }
    this.reader.requestReadBack(now);
    return true;
  }
}
