/** Keeps up with one table of the platform's store; context of the chart `tableFollower`. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type {
  Milliseconds,
  PartLogger,
  Result,
  TypedError,
} from '@lycheetally/common';
import type { Moment } from '@lycheetally/decisions';
import { storeRetryPauseMs } from './constants.js';
import type { TablePort, TableRecord, TableSpan } from './ports.js';

export interface FollowerEvent {
  readonly type: 'LOADED' | 'CHANGED' | 'TRIMMED' | 'FAILED';
}

export type FollowerMachine = ChartMachine<AnyFollower, FollowerEvent>;

/** Services that a follower uses. */
export interface FollowerServices {
  readonly timers: ChartTimers;
  readonly log: PartLogger;
  /** Runs a callback as an event of the loop. */
  postCompletion(run: (now: Milliseconds) => void): void;
  getMoment(): Moment;
}

/** The table that is followed, and how it is read. */
export interface FollowerOptions<T> {
  readonly name: string;
  readonly table: TablePort<T>;
  /** How long the store may wait for a change before it answers a read (long poll). */
  readonly waitMs: Milliseconds;
  /** Pause between two reads. */
  readonly pauseMs: Milliseconds;
  /** Applies records; `isWhole` when they are the whole table. */
  readonly apply: (
    records: readonly TableRecord<T>[],
    isWhole: boolean,
    now: Milliseconds,
  ) => void;
}

export abstract class AnyFollower {
  abstract readonly actions: FollowerActions;
  abstract readonly hasLoaded: boolean;
  abstract readonly pauseMs: Milliseconds;
}

interface FollowerActions {
  requestNewest(): void;
  requestChanges(): void;
  applyNewest(now: Milliseconds): void;
  applyChanges(now: Milliseconds): void;
  noteLost(now: Milliseconds): void;
}

export class TableFollower<T> extends AnyFollower {
  /** When the newest successful read was sent; the records were up to date then. */
  provenAt: Moment | undefined;
  /** Start of the current outage of the store, if there is one. */
  lostSince: Milliseconds | undefined;
  /** End of the latest outage of the store. */
  backAt: Milliseconds = -Infinity;
  /** Reads sent since the start. */
  reads = 0;
  private next = 0;
  private span: TableSpan<T> | undefined;
  private error: TypedError | undefined;
  private readonly chart: ChartInstance<AnyFollower, FollowerEvent>;

  constructor(
    machine: FollowerMachine,
    private readonly services: FollowerServices,
    private readonly options: FollowerOptions<T>,
  ) {
    super();
    this.chart = machine.createInstance(this, services.timers);
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  override get hasLoaded(): boolean {
    return this.provenAt !== undefined;
  }

  override get pauseMs(): Milliseconds {
    return this.options.pauseMs;
  }

  dispose(): void {
    this.chart.dispose();
  }

  override readonly actions: FollowerActions = {
    requestNewest: () => {
      this.request(this.options.table.readNewest(), 'LOADED');
    },
    requestChanges: () => {
      const { table, waitMs } = this.options;
      const isLost = this.lostSince !== undefined;
      // After an outage, a read without a wait confirms the records at once.
      this.request(
        table.readChanges(this.next, isLost ? 0 : waitMs),
        'CHANGED',
      );
    },
    applyNewest: now => {
      this.applySpan(true, now);
    },
    applyChanges: now => {
      this.applySpan(false, now);
    },
    noteLost: now => {
      if (this.lostSince !== undefined) {
        return;
      }
      this.lostSince = now;
      this.services.log.warn('The store does not answer for a table.', {
        table: this.options.name,
        reason: this.error?.message ?? '',
        next: this.next,
      });
    },
  };

  private request(
    answer: Promise<Result<TableSpan<T>>>,
    type: 'LOADED' | 'CHANGED',
  ): void {
    const sentAt = this.services.getMoment();
    this.reads += 1;
    void answer.then(result => {
      this.services.postCompletion(now => {
        this.receive(result, type, sentAt, now);
      });
    });
  }

  private receive(
    result: Result<TableSpan<T>>,
    type: 'LOADED' | 'CHANGED',
    sentAt: Moment,
    now: Milliseconds,
  ): void {
    if (result.err) {
      this.error = result.val;
      this.chart.send({ type: 'FAILED' }, now);
      return;
    }
    this.noteFound(now);
    if (result.val.isTrimmed) {
      this.chart.send({ type: 'TRIMMED' }, now);
      return;
    }
    this.span = result.val;
    this.chart.send({ type }, now);
    this.provenAt = sentAt;
  }

  private noteFound(now: Milliseconds): void {
    if (this.lostSince === undefined) {
      return;
    }
    this.services.log.info('The store answers for a table again.', {
      table: this.options.name,
      lostMs: Math.round(now - this.lostSince),
    });
    this.lostSince = undefined;
    this.backAt = now;
  }

  private applySpan(isWhole: boolean, now: Milliseconds): void {
    const { span } = this;
    this.span = undefined;
    if (span) {
      this.next = span.next;
      this.options.apply(span.records, isWhole, now);
    }
  }
}

/** Binds the chart `tableFollower`. Fails with `BadChart`. */
export const bindFollowerChart = (): Result<FollowerMachine> =>
  bindChart<AnyFollower, FollowerEvent>(ChartName.TableFollower, {
    actions: {
      requestNewest: follower => {
        follower.actions.requestNewest();
      },
      requestChanges: follower => {
        follower.actions.requestChanges();
      },
      applyNewest: (follower, _, now) => {
        follower.actions.applyNewest(now);
      },
      applyChanges: (follower, _, now) => {
        follower.actions.applyChanges(now);
      },
      noteLost: (follower, _, now) => {
        follower.actions.noteLost(now);
      },
    },
    guards: { hasLoaded: follower => follower.hasLoaded },
    delays: {
      READ_PAUSE: follower => follower.pauseMs,
      RETRY_PAUSE: () => storeRetryPauseMs,
    },
  });
