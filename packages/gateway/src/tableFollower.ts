/** Follows one table of the platform's store: its newest values, then its changes. Context of the chart `tableFollower`. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  toMessage,
  type Milliseconds,
  type ComponentLogger,
  type Result,
} from '@lycheetally/common';
import {
  storeStart,
  type Moment,
  type StorePosition,
} from '@lycheetally/decisions';
import { storeRetryDelayMs } from './constants.js';
import type { EraWatch } from './eraWatch.js';
import type {
  RawRecord,
  TablePort,
  TableRecord,
  TableBatch,
  ValueDecoder,
} from './ports.js';

export interface FollowerEvent {
  readonly type: 'LOADED' | 'CHANGED' | 'TRIMMED' | 'REPLACED' | 'FAILED';
}

export type FollowerMachine = ChartMachine<AnyFollower, FollowerEvent>;

/** Services that a follower uses. */
export interface FollowerServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  readonly eraWatch: EraWatch;
  /** Runs a callback on the event loop. */
  postCompletion(run: (now: Milliseconds) => void): void;
  getMoment(): Moment;
}

/** The table that is followed, and how it is read. */
export interface FollowerOptions<T> {
  readonly name: string;
  readonly table: TablePort;
  readonly decode: ValueDecoder<T>;
  /** How long the store may wait for a change before it answers a read (long poll). */
  readonly waitMs: Milliseconds;
  /** Interval between two reads. */
  readonly readIntervalMs: Milliseconds;
  /** Applies records; `isComplete` when they are the whole table. */
  readonly apply: (
    records: readonly TableRecord<T>[],
    isComplete: boolean,
    now: Milliseconds,
  ) => void;
  /** Whether the table has all that is in force; otherwise its copy is too old to confirm anything. */
  readonly isCurrent?: () => boolean;
  /** Passes on what was read, once it is applied; without a time it confirms nothing. */
  readonly noteRead?: (
    batch: TableBatch,
    isComplete: boolean,
    confirmedAt: Moment | undefined,
  ) => void;
  /** Called when a read failed. */
  readonly noteFailure?: () => void;
}

export abstract class AnyFollower {
  abstract readonly actions: FollowerActions;
  abstract readonly hasLoaded: boolean;
  /** Whether the values that were read replace those of an older history of the store. */
  abstract readonly isReplaced: boolean;
  abstract readonly readIntervalMs: Milliseconds;
}

interface FollowerActions {
  requestNewest(): void;
  requestChanges(): void;
  noteReplaced(now: Milliseconds): void;
  applyNewest(now: Milliseconds): void;
  applyChanges(now: Milliseconds): void;
  noteOutage(now: Milliseconds): void;
}

export class TableFollower<T> extends AnyFollower {
  /** When the newest read that reached the end of the table was sent; the records were up to date then. */
  confirmedAt: Moment | undefined;
  /** Start of the current outage of the store, if there is one. */
  outageSince: Milliseconds | undefined;
  /** End of the latest outage of the store, or when its replaced history was read. */
  outageEndedAt: Milliseconds = -Infinity;
  private next: StorePosition = storeStart;
  private batch: TableBatch | undefined;
  private wasHeld = false;
  /** Whether the newest read did not reach the end of the table. */
  private isBehind = false;
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

  get hasStarted(): boolean {
    return this.chart.state !== '';
  }

  override get hasLoaded(): boolean {
    return this.confirmedAt !== undefined;
  }

  override get isReplaced(): boolean {
    return this.hasLoaded && (this.batch?.next.era ?? 0) > this.next.era;
  }

  override get readIntervalMs(): Milliseconds {
    return this.wasHeld || this.isBehind ? 0 : this.options.readIntervalMs;
  }

  dispose(): void {
    this.chart.dispose();
  }

  override readonly actions: FollowerActions = {
    requestNewest: () => {
      this.request(this.options.table.readNewest(this.next), 'LOADED');
    },
    requestChanges: () => {
      const { table, waitMs } = this.options;
      // After an outage, a read without a wait confirms the records at once.
      const isUrgent = this.isBehind || this.outageSince !== undefined;
      this.request(
        table.readChanges(this.next, isUrgent ? 0 : waitMs),
        'CHANGED',
      );
    },
    noteReplaced: now => {
      this.outageEndedAt = now;
      this.services.log.warn('A table was replaced by an older copy.', {
        table: this.options.name,
        era: this.batch?.next.era ?? 0,
        next: this.batch?.next.offset ?? 0,
        before: this.next.offset,
      });
    },
    applyNewest: now => {
      this.applyBatch(true, now);
    },
    applyChanges: now => {
      this.applyBatch(false, now);
    },
    noteOutage: now => {
      this.options.noteFailure?.();
      if (this.outageSince !== undefined) {
        return;
      }
      this.outageSince = now;
      this.services.log.warn('The store does not answer for a table.', {
        table: this.options.name,
        reason: this.error?.message ?? '',
        era: this.next.era,
        next: this.next.offset,
      });
    },
  };

  private request(
    response: Promise<Result<TableBatch>>,
    type: 'LOADED' | 'CHANGED',
  ): void {
    const sentAt = this.services.getMoment();
    void response.then(result => {
      this.services.postCompletion(now => {
        this.receive(result, type, sentAt, now);
      });
    });
  }

  private receive(
    result: Result<TableBatch>,
    type: 'LOADED' | 'CHANGED',
    sentAt: Moment,
    now: Milliseconds,
  ): void {
    const answer = result.andThen(batch => this.checkEra(batch, now));
    if (answer.err) {
      this.error = answer.val;
      this.chart.send({ type: 'FAILED' }, now);
      return;
    }
    const batch = answer.val;
    // Says nothing of the store: it may come without a read.
    if (batch.isTrimmed) {
      const isReplaced = batch.next.era > this.next.era;
      this.chart.send({ type: isReplaced ? 'REPLACED' : 'TRIMMED' }, now);
      return;
    }
    if (batch.reachesEnd) {
      this.noteRecovery(now);
    }
    this.noteReach(batch);
    this.batch = batch;
    this.wasHeld = batch.isHeld;
    this.chart.send({ type }, now);
    const isCurrent = this.options.isCurrent?.() ?? true;
    const confirmedAt =
      isCurrent && batch.reachesEnd
        ? addTime(sentAt, batch.confirmedAfterMs)
        : undefined;
    this.options.noteRead?.(batch, type === 'LOADED', confirmedAt);
    this.confirmedAt = confirmedAt ?? this.confirmedAt;
  }

  /** Notes whether more records follow at once; without them nothing is confirmed. */
  private noteReach({ reachesEnd, next }: TableBatch): void {
    if (!reachesEnd && !this.isBehind) {
      this.services.log.info('A table is read in parts.', {
        table: this.options.name,
        era: next.era,
        next: next.offset,
      });
    }
    this.isBehind = !reachesEnd;
  }

  /** Refuses what belongs to a history of the store that was replaced. */
  private checkEra(batch: TableBatch, now: Milliseconds): Result<TableBatch> {
    const { eraWatch } = this.services;
    eraWatch.note(batch.next.era, now);
    return batch.next.era === eraWatch.era
      ? Ok(batch)
      : Err(
          new TypedError(
            ErrorKind.PlatformUnavailable,
            `an answer for ${this.options.name} is of era ${String(batch.next.era)} of the store, which is replaced`,
            'read the table again; the store answers from a newer history',
          ),
        );
  }

  private noteRecovery(now: Milliseconds): void {
    if (this.outageSince === undefined) {
      return;
    }
    this.services.log.info('The store answers for a table again.', {
      table: this.options.name,
      lostMs: Math.round(now - this.outageSince),
    });
    this.outageSince = undefined;
    this.outageEndedAt = now;
  }

  private applyBatch(isComplete: boolean, now: Milliseconds): void {
    const { batch } = this;
    this.batch = undefined;
    if (batch) {
      this.next = batch.next;
      const { decode, apply } = this.options;
      const records = batch.records.map(each => decodeRecord(each, decode));
      apply(records, isComplete, now);
    }
  }
}

const addTime = (moment: Moment, delayMs: Milliseconds): Moment => ({
  monotonic: moment.monotonic + delayMs,
  wallClock: moment.wallClock + delayMs,
});

const decodeRecord = <T>(
  { key, position, value }: RawRecord,
  decode: ValueDecoder<T>,
): TableRecord<T> => {
  if (value === undefined) {
    return { key, position, value };
  }
  try {
    const decoded = decode(key, value);
    return decoded === undefined
      ? { key, position, value: undefined, fault: 'the key is not used' }
      : { key, position, value: decoded };
  } catch (thrown) {
    return { key, position, value: undefined, fault: toMessage(thrown) };
  }
};

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
      noteReplaced: (follower, _, now) => {
        follower.actions.noteReplaced(now);
      },
      applyNewest: (follower, _, now) => {
        follower.actions.applyNewest(now);
      },
      applyChanges: (follower, _, now) => {
        follower.actions.applyChanges(now);
      },
      noteOutage: (follower, _, now) => {
        follower.actions.noteOutage(now);
      },
    },
    guards: {
      hasLoaded: follower => follower.hasLoaded,
      isReplaced: follower => follower.isReplaced,
    },
    delays: {
      READ_INTERVAL: follower => follower.readIntervalMs,
      RETRY_DELAY: () => storeRetryDelayMs,
    },
  });
