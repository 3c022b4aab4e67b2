/** A log in memory that injects the faults a test chooses. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Result,
} from '@lycheetally/common';
import { LogPort, type LogRecord, type LogSpan } from '../src/index.js';

/** The fault of one call. */
export const LogFault = {
  None: 'none',
  /** The call has no effect and fails. */
  Down: 'down',
  /** The append takes effect and its response is lost. */
  AnswerLost: 'answer-lost',
  /** The append fails, and takes effect `lateAppendDelayCalls` calls later. */
  Late: 'late',
} as const;
export type LogFault = (typeof LogFault)[keyof typeof LogFault];

const lateAppendDelayCalls = 6;
const pageSize = 4;

export class FakeLog extends LogPort {
  readonly records: LogRecord[] = [];
  first = 0;
  private calls = 0;
  private delayedAppends: { dueAt: number; value: string }[] = [];

  constructor(public nextFault: () => LogFault = () => LogFault.None) {
    super();
  }

  override read(_: string, from: number): Promise<Result<LogSpan>> {
    this.applyDelayedAppends();
    if (this.nextFault() === LogFault.Down) {
      return Promise.resolve(createOutageError());
    }
    const start = Math.max(from, this.first);
    const kept = this.records.filter(({ offset }) => offset >= start);
    const records = kept.slice(0, pageSize);
    const last = records.at(-1);
    const next = last ? last.offset + 1 : Math.max(from, this.records.length);
    return Promise.resolve(Ok({ first: this.first, next, records }));
  }

  override append(
    _: string,
    values: readonly string[],
  ): Promise<Result<number>> {
    this.applyDelayedAppends();
    const fault = this.nextFault();
    if (fault === LogFault.Late) {
      const dueAt = this.calls + lateAppendDelayCalls;
      this.delayedAppends.push(...values.map(value => ({ dueAt, value })));
    }
    if (fault === LogFault.Late || fault === LogFault.Down) {
      return Promise.resolve(createOutageError());
    }
    const offset = this.records.length;
    values.forEach(value => {
      this.push(value);
    });
    return Promise.resolve(
      fault === LogFault.AnswerLost ? createOutageError() : Ok(offset),
    );
  }

  /** Applies every delayed append at once. */
  flush(): void {
    this.calls += lateAppendDelayCalls;
    this.applyDelayedAppends();
  }

  private applyDelayedAppends(): void {
    this.calls += 1;
    const due = this.delayedAppends.filter(({ dueAt }) => dueAt <= this.calls);
    this.delayedAppends = this.delayedAppends.filter(
      ({ dueAt }) => dueAt > this.calls,
    );
    due.forEach(({ value }) => {
      this.push(value);
    });
  }

  private push(value: string): void {
    this.records.push({ offset: this.records.length, value });
  }
}

const createOutageError = (): Result<never> =>
  Err(new TypedError(ErrorKind.PlatformUnavailable, 'the log is down', 'wait'));
