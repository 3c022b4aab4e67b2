/**
 * Follows the configuration stream of the log.
 *
 * The version in force only goes forward. After a fault, and from time to time,
 * a read begins with the last record that was applied, so that a log with
 * another history is noticed.
 */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import {
  Emitter,
  type Milliseconds,
  type PartLogger,
  type Result,
  type TypedError,
} from '@lycheetally/common';
import {
  ConfigRecordKind,
  ConfigStanding,
  ConfigVerdict,
  applySpan,
  isNewer,
  type ConfigAcceptance,
  type ConfigDecision,
  type ConfigReplay,
  type ConfigState,
  type PlacedSpan,
  type RouterConfiguration,
  type SnapshotPolicy,
} from '@lycheetally/decisions';
import { configCheckIntervalMs, configReadIntervalMs } from '../constants.js';
import type { EventLog } from '../eventLog.js';
import type { LogPort } from '../ports/platform.js';
import { configStream, decodeSpan, encodeRecord } from './recordCodec.js';

/** A record of the stream, as it is handed on to agents. */
export interface AppliedSpan {
  /** The state before the span. */
  readonly before: ConfigState | undefined;
  readonly after: ConfigState;
}

export type FollowerEvent =
  | { readonly type: 'RECORDS'; readonly span: PlacedSpan }
  | { readonly type: 'READ_FAILED'; readonly error: TypedError }
  | { readonly type: 'HANDED_OVER'; readonly state: ConfigState }
  | { readonly type: 'STOP' };

interface ReplayOfSpan {
  readonly span: PlacedSpan;
  readonly own: ConfigState | undefined;
  readonly replay: ConfigReplay;
}

export interface FollowerServices {
  readonly nodeId: string;
  readonly timers: ChartTimers;
  readonly logPort: LogPort;
  readonly events: EventLog;
  readonly log: PartLogger;
  readonly acceptance: ConfigAcceptance;
  readonly snapshots: SnapshotPolicy;
  postFollowerEvent(event: FollowerEvent): void;
}

export class ConfigFollower {
  /** Emits after a change of the version in force. */
  readonly advanced = new Emitter<AppliedSpan>();
  state: ConfigState | undefined;
  private cursor = 0;
  private recordsSinceSnapshot = 0;
  private snapshotAt = 0;
  /** The last replay, which guards and actions share. */
  private replayed: ReplayOfSpan | undefined;
  private readonly chart: ChartInstance<ConfigFollower, FollowerEvent>;

  constructor(
    machine: ChartMachine<ConfigFollower, FollowerEvent>,
    private readonly services: FollowerServices,
  ) {
    this.chart = machine.createInstance(this, services.timers);
  }

  get inForce(): RouterConfiguration | undefined {
    return this.state?.configuration;
  }

  /** How the follower stands to the log: the name of its chart's state. */
  get standing(): string {
    return this.chart.state.split('.')[0] ?? '';
  }

  start(now: Milliseconds): void {
    this.snapshotAt = now;
    this.chart.start(now);
  }

  receive(event: FollowerEvent, now: Milliseconds): void {
    this.chart.send(event, now);
  }

  readRecords(): void {
    const from = this.cursor;
    void this.services.logPort.read(configStream, from).then(read => {
      this.services.postFollowerEvent(
        read.ok
          ? { type: 'RECORDS', span: decodeSpan(from, read.val) }
          : { type: 'READ_FAILED', error: read.val },
      );
    });
  }

  /** Replays the span of an event over the present state. */
  getReplay(event: FollowerEvent | undefined): ConfigReplay | undefined {
    if (event?.type !== 'RECORDS') {
      return undefined;
    }
    const { span } = event;
    if (this.replayed?.span !== span || this.replayed.own !== this.state) {
      const own = this.state;
      const replay = applySpan(this.services.acceptance, own, span);
      this.replayed = { span, own, replay };
    }
    return this.replayed.replay;
  }

  /** Says whether the read began before the cursor was moved. */
  isOutdated(event: FollowerEvent | undefined): boolean {
    return event?.type === 'RECORDS' && event.span.from !== this.cursor;
  }

  /** Says whether records beyond the replayed ones may be waiting. */
  hasMore(event: FollowerEvent | undefined): boolean {
    const replay = this.getReplay(event);
    return (
      event?.type === 'RECORDS' &&
      replay?.state !== undefined &&
      replay.state.through + 1 < event.span.next
    );
  }

  applyRecords(event: FollowerEvent | undefined, now: Milliseconds): void {
    const replay = this.getReplay(event);
    if (event?.type !== 'RECORDS' || !replay) {
      return;
    }
    this.cursor = replay.cursor;
    for (const decision of replay.decisions) {
      this.noteDecision(decision, now);
    }
    this.noteSnapshots(event.span, replay, now);
    this.setState(replay.state, now);
    this.appendSnapshot(replay, now);
  }

  /** Lets the next read begin with the last record that was applied. */
  resetCursor(): void {
    this.cursor = this.state?.through ?? this.cursor;
  }

  /** Takes over a state that a peer handed on. */
  takeState(event: FollowerEvent | undefined, now: Milliseconds): void {
    if (event?.type !== 'HANDED_OVER') {
      return;
    }
    this.cursor = event.state.through;
    this.setState(event.state, now);
  }

  recordStanding(now: Milliseconds): void {
    this.services.events.record('config-standing', now, {
      detail: { standing: this.standing },
    });
  }

  reportFailure(event: FollowerEvent | undefined): void {
    if (event?.type === 'READ_FAILED') {
      this.services.log.warn('The log cannot be read; the last version stays', {
        reason: event.error.message,
      });
    }
  }

  reportBehind(): void {
    this.services.log.error(
      'Records were trimmed before they were read; waiting for a snapshot or a peer',
      { version: this.inForce?.version ?? 0 },
    );
  }

  reportDivergence(): void {
    this.services.log.error(
      'The log holds another history; restore the log or restart every process',
      { version: this.inForce?.version ?? 0 },
    );
  }

  private setState(state: ConfigState | undefined, now: Milliseconds): void {
    const before = this.state;
    this.state = state;
    if (!state || before?.changeId === state.changeId) {
      return;
    }
    const { version } = state.configuration;
    this.services.log.info('A configuration is in force', { version });
    this.services.events.record('config-in-force', now, {
      detail: { version, lineage: state.lineage, through: state.through },
    });
    this.advanced.emit({ before, after: state });
  }

  private noteDecision(decision: ConfigDecision, now: Milliseconds): void {
    const { offset, verdict, reason } = decision;
    this.recordsSinceSnapshot += 1;
    if (
      verdict === ConfigVerdict.Accepted ||
      verdict === ConfigVerdict.Snapshot
    ) {
      return;
    }
    this.services.log.warn('A configuration record is skipped', {
      offset,
      verdict,
      reason,
    });
    this.services.events.record('config-skipped', now, {
      detail: { offset, verdict, reason },
    });
  }

  private noteSnapshots(
    span: PlacedSpan,
    replay: ConfigReplay,
    now: Milliseconds,
  ): void {
    const from = replay.decisions[0]?.offset ?? span.next;
    const isSeen = span.records.some(
      ({ offset, record }) =>
        offset >= from && record?.kind === ConfigRecordKind.Snapshot,
    );
    if (isSeen) {
      this.recordsSinceSnapshot = 0;
      this.snapshotAt = now;
    }
  }

  private appendSnapshot(replay: ConfigReplay, now: Milliseconds): void {
    const view = {
      nodeId: this.services.nodeId,
      recordsSince: this.recordsSinceSnapshot,
      lastAt: this.snapshotAt,
    };
    // A read without new records has reached the end of the stream.
    if (
      !replay.state ||
      replay.decisions.length > 0 ||
      replay.standing !== ConfigStanding.Current ||
      !this.services.snapshots.wantsSnapshot(view, now)
    ) {
      return;
    }
    this.snapshotAt = now;
    const kind = ConfigRecordKind.Snapshot;
    const record = encodeRecord({ kind, state: replay.state });
    this.services.events.record('config-snapshot', now, {
      detail: { through: replay.state.through },
    });
    // A lost answer does no harm: a second snapshot says the same.
    void this.services.logPort.append(configStream, [record]);
  }
}

/** Binds the chart `configFollower`. Fails with `BadChart`. */
export const bindFollowerChart = (): Result<
  ChartMachine<ConfigFollower, FollowerEvent>
> =>
  bindChart<ConfigFollower, FollowerEvent>(ChartName.ConfigFollower, {
    actions: {
      readRecords: follower => {
        follower.readRecords();
      },
      applyRecords: (follower, event, now) => {
        follower.applyRecords(event, now);
      },
      takeState: (follower, event, now) => {
        follower.takeState(event, now);
      },
      resetCursor: follower => {
        follower.resetCursor();
      },
      recordStanding: (follower, _, now) => {
        follower.recordStanding(now);
      },
      reportFailure: (follower, event) => {
        follower.reportFailure(event);
      },
      reportBehind: follower => {
        follower.reportBehind();
      },
      reportDivergence: follower => {
        follower.reportDivergence();
      },
    },
    guards: {
      isOutdated: (follower, event) => follower.isOutdated(event),
      hasDiverged: (follower, event) =>
        follower.getReplay(event)?.standing === ConfigStanding.Diverged,
      isBehind: (follower, event) =>
        follower.getReplay(event)?.standing === ConfigStanding.Behind,
      hasMore: (follower, event) => follower.hasMore(event),
      isNewerState: (follower, event) =>
        event?.type === 'HANDED_OVER' && isNewer(follower.state, event.state),
    },
    delays: {
      READ_INTERVAL: () => configReadIntervalMs,
      CHECK_INTERVAL: () => configCheckIntervalMs,
    },
  });
