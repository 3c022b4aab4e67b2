/**
 * Follows the configuration stream of the log.
 *
 * The version in force never decreases. After a failed read, and once in each
 * `configCheckIntervalMs`, a read starts with the last applied record again, so
 * that a log that was replaced or has lost records is detected.
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
  type ComponentLogger,
  type Result,
  type TypedError,
} from '@lycheetally/common';
import {
  ConfigRecordKind,
  ReplayStatus,
  ConfigVerdict,
  applySpan,
  isNewer,
  type ConfigAcceptance,
  type ConfigDecision,
  type ConfigReplay,
  type ConfigState,
  type StreamSpan,
  type RouterConfiguration,
  type SnapshotPolicy,
} from '@lycheetally/decisions';
import { configCheckIntervalMs, configReadIntervalMs } from '../constants.js';
import type { EventLog } from '../eventLog.js';
import type { LogPort } from '../ports/platform.js';
import { configStream, decodeSpan, encodeRecord } from './recordCodec.js';

/** A change of the state, from which the edits for peers are computed. */
export interface ConfigStateChange {
  /** `undefined` before the first configuration. */
  readonly before: ConfigState | undefined;
  readonly after: ConfigState;
}

export type ConfigFollowerEvent =
  | { readonly type: 'RECORDS_READ'; readonly span: StreamSpan }
  | { readonly type: 'READ_FAILED'; readonly error: TypedError }
  | { readonly type: 'PEER_STATE_RECEIVED'; readonly state: ConfigState }
  | { readonly type: 'STOP' };

interface CachedReplay {
  readonly span: StreamSpan;
  readonly stateBefore: ConfigState | undefined;
  readonly replay: ConfigReplay;
}

export interface ConfigFollowerServices {
  readonly nodeId: string;
  readonly timers: ChartTimers;
  readonly logPort: LogPort;
  readonly events: EventLog;
  readonly log: ComponentLogger;
  readonly acceptance: ConfigAcceptance;
  readonly snapshots: SnapshotPolicy;
  postFollowerEvent(event: ConfigFollowerEvent): void;
}

export class ConfigFollower {
  /** Emits after the version in force has changed. */
  readonly configurationChanged = new Emitter<ConfigStateChange>();
  state: ConfigState | undefined;
  private cursor = 0;
  private recordsSinceSnapshot = 0;
  private lastSnapshotAt = 0;
  /** The last replay; cached because the guards and actions of an event share it. */
  private cachedReplay: CachedReplay | undefined;
  private readonly chart: ChartInstance<ConfigFollower, ConfigFollowerEvent>;

  constructor(
    machine: ChartMachine<ConfigFollower, ConfigFollowerEvent>,
    private readonly services: ConfigFollowerServices,
  ) {
    this.chart = machine.createInstance(this, services.timers);
  }

  get configuration(): RouterConfiguration | undefined {
    return this.state?.configuration;
  }

  /** How current the follower is with the log: its chart's top-level state. */
  get standing(): string {
    return this.chart.state.split('.')[0] ?? '';
  }

  start(now: Milliseconds): void {
    this.lastSnapshotAt = now;
    this.chart.start(now);
  }

  receive(event: ConfigFollowerEvent, now: Milliseconds): void {
    this.chart.send(event, now);
  }

  readRecords(): void {
    const from = this.cursor;
    void this.services.logPort.read(configStream, from).then(read => {
      this.services.postFollowerEvent(
        read.ok
          ? { type: 'RECORDS_READ', span: decodeSpan(from, read.val) }
          : { type: 'READ_FAILED', error: read.val },
      );
    });
  }

  /** Replays the records of an event on top of the current state. */
  getReplay(event: ConfigFollowerEvent | undefined): ConfigReplay | undefined {
    if (event?.type !== 'RECORDS_READ') {
      return undefined;
    }
    const { span } = event;
    if (
      this.cachedReplay?.span !== span ||
      this.cachedReplay.stateBefore !== this.state
    ) {
      const stateBefore = this.state;
      const replay = applySpan(this.services.acceptance, stateBefore, span);
      this.cachedReplay = { span, stateBefore, replay };
    }
    return this.cachedReplay.replay;
  }

  /** Says whether the cursor has moved since the read was started. */
  isStaleRead(event: ConfigFollowerEvent | undefined): boolean {
    return event?.type === 'RECORDS_READ' && event.span.from !== this.cursor;
  }

  /** Says whether the log may hold records after the replayed ones. */
  hasMore(event: ConfigFollowerEvent | undefined): boolean {
    const replay = this.getReplay(event);
    return (
      event?.type === 'RECORDS_READ' &&
      replay?.state !== undefined &&
      replay.state.through + 1 < event.span.next
    );
  }

  applyRecords(
    event: ConfigFollowerEvent | undefined,
    now: Milliseconds,
  ): void {
    const replay = this.getReplay(event);
    if (event?.type !== 'RECORDS_READ' || !replay) {
      return;
    }
    this.cursor = replay.cursor;
    for (const decision of replay.decisions) {
      this.recordDecision(decision, now);
    }
    this.updateSnapshotAge(event.span, replay, now);
    this.setState(replay.state, now);
    this.appendSnapshotIfDue(replay, now);
  }

  /** Makes the next read start with the last applied record. */
  resetCursor(): void {
    this.cursor = this.state?.through ?? this.cursor;
  }

  /** Adopts a state that was received from a peer. */
  applyPeerState(
    event: ConfigFollowerEvent | undefined,
    now: Milliseconds,
  ): void {
    if (event?.type !== 'PEER_STATE_RECEIVED') {
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

  reportReadFailure(event: ConfigFollowerEvent | undefined): void {
    if (event?.type === 'READ_FAILED') {
      this.services.log.warn(
        'The log cannot be read; the last accepted version stays in force',
        { reason: event.error.message },
      );
    }
  }

  reportBehind(): void {
    this.services.log.error(
      'The log trimmed records before they were read; waiting for a snapshot or a newer version from a peer',
      { version: this.configuration?.version ?? 0 },
    );
  }

  reportDivergence(): void {
    this.services.log.error(
      'The log does not match the records already applied; restore the log or restart every process',
      { version: this.configuration?.version ?? 0 },
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
    this.configurationChanged.emit({ before, after: state });
  }

  private recordDecision(decision: ConfigDecision, now: Milliseconds): void {
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

  private updateSnapshotAge(
    span: StreamSpan,
    replay: ConfigReplay,
    now: Milliseconds,
  ): void {
    const from = replay.decisions[0]?.offset ?? span.next;
    const hasSnapshot = span.records.some(
      ({ offset, record }) =>
        offset >= from && record?.kind === ConfigRecordKind.Snapshot,
    );
    if (hasSnapshot) {
      this.recordsSinceSnapshot = 0;
      this.lastSnapshotAt = now;
    }
  }

  private appendSnapshotIfDue(replay: ConfigReplay, now: Milliseconds): void {
    const view = {
      nodeId: this.services.nodeId,
      recordsSince: this.recordsSinceSnapshot,
      lastAt: this.lastSnapshotAt,
    };
    // A read without new records has reached the end of the stream.
    if (
      !replay.state ||
      replay.decisions.length > 0 ||
      replay.status !== ReplayStatus.Current ||
      !this.services.snapshots.wantsSnapshot(view, now)
    ) {
      return;
    }
    this.lastSnapshotAt = now;
    const kind = ConfigRecordKind.Snapshot;
    const record = encodeRecord({ kind, state: replay.state });
    this.services.events.record('config-snapshot', now, {
      detail: { through: replay.state.through },
    });
    // The result is ignored: a duplicate is harmless, and a lost snapshot is appended again later.
    void this.services.logPort.append(configStream, [record]);
  }
}

/** Binds the chart `configFollower`. Fails with `BadChart`. */
export const bindFollowerChart = (): Result<
  ChartMachine<ConfigFollower, ConfigFollowerEvent>
> =>
  bindChart<ConfigFollower, ConfigFollowerEvent>(ChartName.ConfigFollower, {
    actions: {
      readRecords: follower => {
        follower.readRecords();
      },
      applyRecords: (follower, event, now) => {
        follower.applyRecords(event, now);
      },
      applyPeerState: (follower, event, now) => {
        follower.applyPeerState(event, now);
      },
      resetCursor: follower => {
        follower.resetCursor();
      },
      recordStanding: (follower, _, now) => {
        follower.recordStanding(now);
      },
      reportReadFailure: (follower, event) => {
        follower.reportReadFailure(event);
      },
      reportBehind: follower => {
        follower.reportBehind();
      },
      reportDivergence: follower => {
        follower.reportDivergence();
      },
    },
    guards: {
      isStaleRead: (follower, event) => follower.isStaleRead(event),
      hasDiverged: (follower, event) =>
        follower.getReplay(event)?.status === ReplayStatus.Diverged,
      isBehind: (follower, event) =>
        follower.getReplay(event)?.status === ReplayStatus.Behind,
      hasMore: (follower, event) => follower.hasMore(event),
      isNewerState: (follower, event) =>
        event?.type === 'PEER_STATE_RECEIVED' &&
        isNewer(follower.state, event.state),
    },
    delays: {
      READ_INTERVAL: () => configReadIntervalMs,
      CHECK_INTERVAL: () => configCheckIntervalMs,
    },
  });
