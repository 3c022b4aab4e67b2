/** Follows the configuration stream; the version in force only goes forward. */
import {
  ChartMachine,
  ChartName,
  loadChart,
  type ChartInstance,
  type ChartTimers,
} from '@lycheetally/charts';
import {
  type Milliseconds,
  type PartLogger,
  type Result,
  type TypedError,
} from '@lycheetally/common';
import type { RouterConfiguration } from '@lycheetally/decisions';
import { parseConfiguration } from '../configuration.js';
import { configReadIntervalMs } from '../constants.js';
import type { EventLog } from '../eventLog.js';
import type { LogPort, LogRecord, LogSpan } from '../ports/platform.js';

/** The log's stream that holds the configuration. */
export const configStream = 'config';

export type FollowerEvent =
  | { readonly type: 'RECORDS'; readonly span: LogSpan }
  | { readonly type: 'READ_FAILED'; readonly error: TypedError }
  | { readonly type: 'STOP' };

export interface FollowerServices {
  readonly timers: ChartTimers;
  readonly logPort: LogPort;
  readonly events: EventLog;
  readonly log: PartLogger;
  postFollowerEvent(event: FollowerEvent): void;
}

export class ConfigFollower {
  inForce: RouterConfiguration | undefined;
  private cursor = 0;
  private isFailing = false;
  private readonly chart: ChartInstance<ConfigFollower, FollowerEvent>;

  constructor(
    machine: ChartMachine<ConfigFollower, FollowerEvent>,
    private readonly services: FollowerServices,
  ) {
    this.chart = machine.createInstance(this, services.timers);
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  receive(event: FollowerEvent, now: Milliseconds): void {
    this.chart.send(event, now);
  }

  readRecords(): void {
    void this.services.logPort.read(configStream, this.cursor).then(read => {
      this.services.postFollowerEvent(
        read.ok
          ? { type: 'RECORDS', span: read.val }
          : { type: 'READ_FAILED', error: read.val },
      );
    });
  }

  applyRecords(event: FollowerEvent | undefined, now: Milliseconds): void {
    if (event?.type !== 'RECORDS') {
      return;
    }
    this.isFailing = false;
    for (const record of event.span.records) {
      this.applyRecord(record, now);
    }
    this.cursor = Math.max(this.cursor, event.span.next);
  }

  recordFailure(event: FollowerEvent | undefined): void {
    if (event?.type !== 'READ_FAILED' || this.isFailing) {
      return;
    }
    this.isFailing = true;
    this.services.log.warn('The log cannot be read; the last version stays', {
      reason: event.error.message,
    });
  }

  private applyRecord(record: LogRecord, now: Milliseconds): void {
    const parsed = parseConfiguration(record.value);
    if (parsed.err) {
      this.services.log.warn('A configuration record is left out', {
        offset: record.offset,
        reason: parsed.val.message,
      });
      return;
    }
    if (parsed.val.version <= (this.inForce?.version ?? 0)) {
      return;
    }
    this.inForce = parsed.val;
    this.services.log.info('A configuration is in force', {
      version: parsed.val.version,
    });
    this.services.events.record('config-in-force', now, {
      detail: { version: parsed.val.version, offset: record.offset },
    });
  }
}

/** Binds the chart `configFollower`. Fails with `BadChart`. */
export const bindFollowerChart = (): Result<
  ChartMachine<ConfigFollower, FollowerEvent>
> =>
  loadChart(ChartName.ConfigFollower).andThen(chart =>
    ChartMachine.bind<ConfigFollower, FollowerEvent>(chart, {
      actions: {
        readRecords: follower => {
          follower.readRecords();
        },
        applyRecords: (follower, event, now) => {
          follower.applyRecords(event, now);
        },
        recordFailure: (follower, event) => {
          follower.recordFailure(event);
        },
      },
      guards: {},
      delays: { READ_INTERVAL: () => configReadIntervalMs },
    }),
  );
