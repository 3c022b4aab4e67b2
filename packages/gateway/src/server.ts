/** A gateway's view of one backend server; context of the chart `serverHealth`. */
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
} from '@lycheetally/common';
import type { BackendRecord, StageLoad } from '@lycheetally/decisions';
import {
  refusalCooldownMs,
  firstSuspensionMs,
  heartbeatDelayMs,
  maxConsecutiveErrors,
  maxSuspensionMs,
  unreachableRetryMs,
} from './constants.js';
import type { ServerIntake } from './serverIntake.js';

export interface HealthEvent {
  readonly type:
    | 'SUCCEEDED'
    | 'FAILED'
    | 'OVERFLOWED'
    | 'UNREACHABLE'
    | 'HEARTBEAT'
    | 'RESTARTED';
}

export type HealthMachine = ChartMachine<Server, HealthEvent>;

export class Server {
  /** Running calls of which it is the first server. */
  calls = 0;
  /** Tokens times layers, summed over the running calls. */
  layerTokens = 0;
  /** When the server was last known to be alive, by a heartbeat or a response to a probe. */
  lastAliveAt: Milliseconds;
  /** Calls that the server reported in its newest response; 0 after a heartbeat. */
  private reportedCalls = 0;
  private refusedAt: Milliseconds = -Infinity;
  private unreachableSince: Milliseconds = 0;
  private consecutiveErrors = 0;
  private suspensions = 0;
  private lastReason = '';
  private readonly chart: ChartInstance<Server, HealthEvent>;

  constructor(
    machine: HealthMachine,
    timers: ChartTimers,
    public record: BackendRecord,
    private readonly log: ComponentLogger,
    /** What the server says that it takes. */
    readonly intake: ServerIntake,
    now: Milliseconds,
  ) {
    this.lastAliveAt = now;
    this.chart = machine.createInstance(this, timers);
    this.chart.start(now);
  }

  /** Whether the server may get calls, judging by the results of earlier ones. */
  get isAvailable(): boolean {
    return (
      !this.chart.matches('suspended') && !this.chart.matches('unreachable')
    );
  }

  /** Estimates the load from all gateways, assuming that each sends as much as this one. */
  estimateLoad(gateways: number): StageLoad {
    const { layerTokens, calls, reportedCalls } = this;
    return {
      layerTokens: layerTokens * gateways,
      firstStageRequests: Math.max(calls * gateways, reportedCalls),
      stepTimeRatio: 1,
    };
  }

  /** Whether the server refused a call recently. */
  hasRefusedRecently(now: Milliseconds): boolean {
    return now - this.refusedAt < refusalCooldownMs;
  }

  noteRefusal(now: Milliseconds): void {
    this.refusedAt = now;
  }

  noteSuccess(now: Milliseconds): void {
    if (this.consecutiveErrors > 0 || !this.chart.matches('healthy')) {
      this.chart.send({ type: 'SUCCEEDED' }, now);
    }
  }

  noteError(reason: string, now: Milliseconds): void {
    this.lastReason = reason;
    this.chart.send({ type: 'FAILED' }, now);
  }

  /** Handles an answer that exceeds every limit; another one would cost as much memory, so the server is suspended at once. */
  noteOverflow(reason: string, now: Milliseconds): void {
    this.lastReason = reason;
    this.chart.send({ type: 'OVERFLOWED' }, now);
  }

  noteUnreachable(reason: string, now: Milliseconds): void {
    this.lastReason = reason;
    this.chart.send({ type: 'UNREACHABLE' }, now);
  }

  /** Handles a new heartbeat that was read from the server list. */
  noteHeartbeat(now: Milliseconds): void {
    this.reportedCalls = 0;
    this.lastAliveAt = now;
    this.chart.send({ type: 'HEARTBEAT' }, now);
  }

  /** Records the load that the server reported in a response. */
  noteLoad(calls: number): void {
    this.reportedCalls = calls;
  }

  noteRestart(now: Milliseconds): void {
    this.intake.noteRestarted(now);
    this.chart.send({ type: 'RESTARTED' }, now);
  }

  dispose(): void {
    this.intake.dispose();
    this.chart.dispose();
  }

  /** Actions, guards and delays of the chart. */
  readonly chartActions = {
    resetErrors: (): void => {
      this.consecutiveErrors = 0;
    },
    countError: (): void => {
      this.consecutiveErrors += 1;
    },
    resetSuspensions: (): void => {
      this.suspensions = 0;
    },
    recordUnreachable: (now: Milliseconds): void => {
      this.unreachableSince = now;
      this.log.warn('A server gets no work until its next heartbeat.', {
        server: this.record.serverId,
        reason: this.lastReason,
        sequence: this.record.sequence,
      });
    },
    isNewHeartbeat: (now: Milliseconds): boolean =>
      now - this.unreachableSince >= heartbeatDelayMs,
    noteSuspended: (): void => {
      this.suspensions += 1;
      this.log.warn('A server was suspended because of errors.', {
        server: this.record.serverId,
        reason: this.lastReason,
        forMs: this.computeSuspension(),
      });
    },
    noteTrial: (): void => {
      this.log.info('A server gets work again.', {
        server: this.record.serverId,
      });
    },
    hasReachedErrorLimit: (): boolean =>
      this.consecutiveErrors + 1 >= maxConsecutiveErrors,
  };

  computeSuspension(): Milliseconds {
    const doubled = firstSuspensionMs * 2 ** (this.suspensions - 1);
    return Math.min(maxSuspensionMs, doubled);
  }
}

/** Binds the chart `serverHealth`. Fails with `BadChart`. */
export const bindHealthChart = (): Result<HealthMachine> =>
  bindChart<Server, HealthEvent>(ChartName.ServerHealth, {
    actions: {
      resetErrors: server => {
        server.chartActions.resetErrors();
      },
      countError: server => {
        server.chartActions.countError();
      },
      resetSuspensions: server => {
        server.chartActions.resetSuspensions();
      },
      recordUnreachable: (server, _, now) => {
        server.chartActions.recordUnreachable(now);
      },
      noteSuspended: server => {
        server.chartActions.noteSuspended();
      },
      noteTrial: server => {
        server.chartActions.noteTrial();
      },
    },
    guards: {
      hasReachedErrorLimit: server =>
        server.chartActions.hasReachedErrorLimit(),
      isNewHeartbeat: (server, _, now) =>
        server.chartActions.isNewHeartbeat(now),
    },
    delays: {
      SUSPENSION: server => server.computeSuspension(),
      UNREACHABLE_RETRY: () => unreachableRetryMs,
    },
  });
