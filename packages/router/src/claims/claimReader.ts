/** Reads one claims stream into its index; the cursor never moves backwards. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type {
  Milliseconds,
  ComponentLogger,
  Result,
  TypedError,
} from '@lycheetally/common';
import { claimReadIntervalMs, claimRetryIntervalMs } from '../constants.js';
import type { LogPort, LogSpan } from '../ports/platform.js';
import { parseClaimRecord } from './claimCodec.js';
import type { ClaimIndex } from './claimIndex.js';

type ReaderEvent =
  | { readonly type: 'RECORDS'; readonly span: LogSpan }
  | { readonly type: 'READ_FAILED'; readonly error: TypedError }
  | { readonly type: 'READ_NOW' | 'READ_BACK' | 'STOP' };

export type ReaderMachine = ChartMachine<ClaimReader, ReaderEvent>;

/** Receives the progress of a reader. */
export abstract class ReaderListener {
  /** Every record that the log keeps has been read. */
  abstract handleCurrent(now: Milliseconds): void;
  /** A requested read-back has reached the end of the stream. */
  abstract handleReadBack(now: Milliseconds): void;
  abstract handleDown(now: Milliseconds): void;
}

export interface ReaderServices {
  readonly timers: ChartTimers;
  readonly logPort: LogPort;
  readonly log: ComponentLogger;
  /** Posts the result of a read to the event loop. */
  postClaimRead(reader: ClaimReader, read: Result<LogSpan>): void;
}

export class ClaimReader {
  private cursor = 0;
  private requestedOffset = 0;
  private isReadBackPending = false;
  private readonly chart: ChartInstance<ClaimReader, ReaderEvent>;

  constructor(
    machine: ReaderMachine,
    private readonly services: ReaderServices,
    private readonly stream: string,
    private readonly index: ClaimIndex,
    private readonly listener: ReaderListener,
  ) {
    this.chart = machine.createInstance(this, services.timers);
  }

  /** Returns whether every kept record has been read and the log is available. */
  get isCurrent(): boolean {
    return this.chart.matches('current');
  }

  get isDown(): boolean {
    return this.chart.matches('down');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  stop(now: Milliseconds): void {
    this.chart.send({ type: 'STOP' }, now);
  }

  /** Reads every record before the offset, without waiting for the next interval. */
  requestRead(beforeOffset: number, now: Milliseconds): void {
    this.requestedOffset = Math.max(this.requestedOffset, beforeOffset);
    this.chart.send({ type: 'READ_NOW' }, now);
  }

  /** Reads to the end of the stream; a read that is already under way does not count. */
  requestReadBack(now: Milliseconds): void {
    this.chart.send({ type: 'READ_BACK' }, now);
  }

  receiveRead(read: Result<LogSpan>, now: Milliseconds): void {
    const event: ReaderEvent = read.ok
      ? { type: 'RECORDS', span: read.val }
      : { type: 'READ_FAILED', error: read.val };
    this.chart.send(event, now);
  }

  /** Actions and guards of the chart. */
  readonly chartActions = {
    readRecords: (): void => {
      void this.services.logPort.read(this.stream, this.cursor).then(read => {
        this.services.postClaimRead(this, read);
      });
    },
    applyRecords: (event: ReaderEvent | undefined, now: Milliseconds): void => {
      if (event?.type !== 'RECORDS') {
        return;
      }
      for (const { offset, value } of event.span.records) {
        this.applyValue(offset, value, now);
      }
      this.cursor = Math.max(this.cursor, event.span.next);
    },
    noteReadBackRequest: (): void => {
      this.isReadBackPending = true;
    },
    clearReadBackRequest: (): void => {
      this.isReadBackPending = false;
    },
    reportCurrent: (now: Milliseconds): void => {
      this.listener.handleCurrent(now);
    },
    reportReadBack: (now: Milliseconds): void => {
      this.listener.handleReadBack(now);
    },
    reportDown: (now: Milliseconds): void => {
      this.isReadBackPending = false;
      this.services.log.warn('A claims stream cannot be read', {
        stream: this.stream,
      });
      this.listener.handleDown(now);
    },
    hasRecords: (event: ReaderEvent | undefined): boolean =>
      event?.type === 'RECORDS' && event.span.records.length > 0,
    isBehindRequest: (event: ReaderEvent | undefined): boolean =>
      event?.type === 'RECORDS' && event.span.next < this.requestedOffset,
    isReadBackRequested: (): boolean => this.isReadBackPending,
  };

  private applyValue(offset: number, value: string, now: Milliseconds): void {
    if (offset < this.cursor) {
      return;
    }
    const parsed = parseClaimRecord(value);
    if (parsed.err) {
      this.services.log.warn('Skipped an invalid record of a claims stream', {
        stream: this.stream,
        offset,
      });
      return;
    }
    this.index.applyRecord(parsed.val, now);
  }
}

/** Binds the chart `claimReader`. Fails with `BadChart`. */
export const bindReaderChart = (): Result<ReaderMachine> =>
  bindChart<ClaimReader, ReaderEvent>(ChartName.ClaimReader, {
    actions: {
      readRecords: reader => {
        reader.chartActions.readRecords();
      },
      applyRecords: (reader, event, now) => {
        reader.chartActions.applyRecords(event, now);
      },
      noteReadBackRequest: reader => {
        reader.chartActions.noteReadBackRequest();
      },
      clearReadBackRequest: reader => {
        reader.chartActions.clearReadBackRequest();
      },
      reportCurrent: (reader, _, now) => {
        reader.chartActions.reportCurrent(now);
      },
      reportReadBack: (reader, _, now) => {
        reader.chartActions.reportReadBack(now);
      },
      reportDown: (reader, _, now) => {
        reader.chartActions.reportDown(now);
      },
    },
    guards: {
      hasRecords: (reader, event) => reader.chartActions.hasRecords(event),
      isBehindRequest: (reader, event) =>
        reader.chartActions.isBehindRequest(event),
      isReadBackRequested: reader => reader.chartActions.isReadBackRequested(),
    },
    delays: {
      READ_INTERVAL: () => claimReadIntervalMs,
      RETRY_DELAY: () => claimRetryIntervalMs,
    },
  });
