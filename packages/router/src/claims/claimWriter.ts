/**
 * Appends records to one claims stream, in batches and one append at a time.
 *
 * When an append fails or its answer is lost, the batch may still be in the log,
 * so the stream is read to its end. Claims that are not found are refused; end
 * records that are not found are appended again.
 */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type { Milliseconds, Result } from '@lycheetally/common';
import type { AnyClaimRecord, AppendBatchPolicy } from '@lycheetally/decisions';
import { maxPendingClaimRecords } from '../constants.js';
import type { LogPort } from '../ports/platform.js';
import { encodeClaimRecord } from './claimCodec.js';

interface WriterEvent {
  readonly type:
    'ENQUEUED' | 'APPENDED' | 'APPEND_FAILED' | 'READ_TO_END' | 'LOG_DOWN';
}

export type WriterMachine = ChartMachine<ClaimWriter, WriterEvent>;

/** A record that waits to be appended. */
export interface WaitingRecord {
  readonly record: AnyClaimRecord;
  /** Returns whether the record is in the log or no longer needed. */
  isSettled(): boolean;
  /** Called when the record is not in the log; returns `false` to keep it queued. */
  handleMissing(now: Milliseconds): boolean;
}

export interface WriterServices {
  readonly timers: ChartTimers;
  readonly logPort: LogPort;
  readonly appendBatching: AppendBatchPolicy;
  /** Posts the result of an append to the event loop. */
  postClaimAppended(writer: ClaimWriter, appended: Result<number>): void;
  /** Reads every record before the offset. */
  requestRead(beforeOffset: number, now: Milliseconds): void;
  /** Reads the stream to its end; returns `false` when the log is unavailable. */
  requestReadBack(now: Milliseconds): boolean;
}

export class ClaimWriter {
  /** Appends sent since the start. */
  appends = 0;
  private waiting: WaitingRecord[] = [];
  private batch: WaitingRecord[] = [];
  private lastAppendAt: Milliseconds = 0;
  private batchEndOffset = 0;
  private readonly chart: ChartInstance<ClaimWriter, WriterEvent>;

  constructor(
    machine: WriterMachine,
    private readonly services: WriterServices,
    private readonly stream: string,
    now: Milliseconds,
  ) {
    this.chart = machine.createInstance(this, services.timers);
    this.chart.start(now);
  }

  /** Enqueues a record. A full queue drops its oldest record; a dropped claim is refused. */
  enqueue(waiting: WaitingRecord, now: Milliseconds): void {
    this.waiting.push(waiting);
    if (this.waiting.length > maxPendingClaimRecords) {
      this.waiting.shift()?.handleMissing(now);
    }
    this.chart.send({ type: 'ENQUEUED' }, now);
  }

  receiveAppended(appended: Result<number>, now: Milliseconds): void {
    if (appended.ok) {
      this.batchEndOffset = appended.val + this.batch.length;
      this.chart.send({ type: 'APPENDED' }, now);
      return;
    }
    this.chart.send({ type: 'APPEND_FAILED' }, now);
  }

  /** Called when the stream has been read to its end. */
  handleReadBack(now: Milliseconds): void {
    this.chart.send({ type: 'READ_TO_END' }, now);
    if (this.waiting.length > 0) {
      this.chart.send({ type: 'ENQUEUED' }, now);
    }
  }

  handleDown(now: Milliseconds): void {
    this.chart.send({ type: 'LOG_DOWN' }, now);
  }

  /** Actions, guards and delays of the chart. */
  readonly chartActions = {
    sendBatch: (now: Milliseconds): void => {
      const view = this.viewQueue();
      const count = this.services.appendBatching.countBatch(view);
      this.batch = this.waiting.splice(0, count);
      this.lastAppendAt = now;
      this.appends += 1;
      const values = this.batch.map(({ record }) => encodeClaimRecord(record));
      void this.services.logPort.append(this.stream, values).then(appended => {
        this.services.postClaimAppended(this, appended);
      });
    },
    readBatch: (now: Milliseconds): void => {
      this.batch = [];
      this.services.requestRead(this.batchEndOffset, now);
    },
    readBack: (now: Milliseconds): void => {
      if (!this.services.requestReadBack(now)) {
        this.chart.send({ type: 'LOG_DOWN' }, now);
      }
    },
    settleBatch: (now: Milliseconds): void => {
      const batch = this.batch;
      this.batch = [];
      this.enqueueAgain(batch, now);
    },
    refuseWaiting: (now: Milliseconds): void => {
      const waiting = this.waiting;
      this.waiting = [];
      this.enqueueAgain(waiting, now);
    },
    hasWaiting: (): boolean => this.waiting.length > 0,
    computeWait: (now: Milliseconds): Milliseconds =>
      this.services.appendBatching.computeWait(this.viewQueue(), now),
  };

  private enqueueAgain(
    records: readonly WaitingRecord[],
    now: Milliseconds,
  ): void {
    const kept = records.filter(
      record => !record.isSettled() && !record.handleMissing(now),
    );
    this.waiting = [...kept, ...this.waiting];
  }

  private viewQueue(): {
    waiting: number;
    lastAppendAt: Milliseconds;
  } {
    return { waiting: this.waiting.length, lastAppendAt: this.lastAppendAt };
  }
}

/** Binds the chart `claimWriter`. Fails with `BadChart`. */
export const bindWriterChart = (): Result<WriterMachine> =>
  bindChart<ClaimWriter, WriterEvent>(ChartName.ClaimWriter, {
    actions: {
      sendBatch: (writer, _, now) => {
        writer.chartActions.sendBatch(now);
      },
      readBatch: (writer, _, now) => {
        writer.chartActions.readBatch(now);
      },
      readBack: (writer, _, now) => {
        writer.chartActions.readBack(now);
      },
      settleBatch: (writer, _, now) => {
        writer.chartActions.settleBatch(now);
      },
      refuseWaiting: (writer, _, now) => {
        writer.chartActions.refuseWaiting(now);
      },
    },
    guards: { hasWaiting: writer => writer.chartActions.hasWaiting() },
    delays: {
      BATCH_WAIT: (writer, now) => writer.chartActions.computeWait(now),
    },
  });
