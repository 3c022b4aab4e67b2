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
import type {
  BackendRecord,
  StageLoad,
  ToldCalls,
} from '@lycheetally/decisions';
import {
  refusalCooldownMs,
  firstSuspensionMs,
  heartbeatDelayMs,
  lossSilenceMs,
  recentTroubleMs,
  maxConsecutiveErrors,
  maxSuspensionMs,
  reportTimeoutMs,
  slowReportMs,
  unreachableRetryMs,
  unresponsiveSilenceMs,
} from '../constants.js';
import type { ServerIntake } from './serverIntake.js';

export interface HealthEvent {
  readonly type:
    | 'SUCCEEDED'
    | 'FAILED'
    | 'OVERFLOWED'
    | 'SILENT'
    | 'ALIVE'
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
  /** When it last sent something itself; a heartbeat may have been written up to a read of the list earlier. */
  private provenAt: Milliseconds = -Infinity;
  /** When its last silence or pause ended, as far as that was seen. */
  returnedAt: Milliseconds = -Infinity;
  /** When it last said something after it had said nothing for a while, as at the end of a pause that no question found. */
  heardAgainAt: Milliseconds = -Infinity;
  /** Calls that the server reported in its newest response; 0 after a heartbeat. */
  private reportedCalls = 0;
  /** What it told of its load in its newest response. */
  told: ToldCalls | undefined;
  /** Its observed step time relative to that of its kind; 1 while no pace is observed. */
  stepTimeRatio = 1;
  private refusedAt: Milliseconds = -Infinity;
  /** When the server was found to be unreachable or silent. */
  private awaySince: Milliseconds = 0;
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
    /** Called when the server is back after a silence. */
    private readonly handleReturn: (now: Milliseconds) => void,
  ) {
    this.lastAliveAt = now;
    this.chart = machine.createInstance(this, timers);
    this.chart.start(now);
  }

  /** Whether the server may get calls, judging by the results of earlier ones. */
  get isAvailable(): boolean {
    return (
      !this.chart.matches('suspended') &&
      !this.chart.matches('unreachable') &&
      !this.isSilent
    );
  }

  /** Whether the server answers nothing, though nothing else says that it is gone. */
  get isSilent(): boolean {
    return this.chart.matches('silent');
  }

  /** Whether its silence may be the pause of a sound server. */
  get isPausing(): boolean {
    return this.chart.matches('silent.pausing');
  }

  /** When the question was asked, at the latest, that a silent server did not answer. */
  get askedAt(): Milliseconds {
    return this.awaySince - reportTimeoutMs;
  }

  /** Whether it gets no calls now, or was silent or slow until just now. */
  isInTrouble(now: Milliseconds): boolean {
    return !this.isAvailable || now - this.returnedAt < recentTroubleMs;
  }

  /** Whether it has been silent for less than that. */
  isSilentForLess(silenceMs: Milliseconds, now: Milliseconds): boolean {
    return this.isSilent && now - this.awaySince < silenceMs;
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

  /** Whether it has a place for a further call, as far as this gateway knows. */
  get hasPlace(): boolean {
    return Math.max(this.calls, this.reportedCalls) < this.record.slots;
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

  /** Handles a question that the server did not answer. */
  noteSilent(reason: string, now: Milliseconds): void {
    this.lastReason = reason;
    this.chart.send({ type: 'SILENT' }, now);
  }

  /** Handles any sign of life that is not an answer to a call. */
  noteAlive(now: Milliseconds): void {
    this.noteProof(now);
    this.chart.send({ type: 'ALIVE' }, now);
  }

  /** Handles an answer to a question. A late one shows that the server paused until now; one that is late again and again is slow or far away. */
  noteAnswer(askedAt: Milliseconds, now: Milliseconds): void {
    if (
      now - askedAt >= slowReportMs &&
      now - this.returnedAt >= lossSilenceMs
    ) {
      this.returnedAt = now;
    }
    this.noteAlive(now);
  }

  /** Records that the server sent something, which proves that it lives. */
  noteProof(now: Milliseconds): void {
    if (now - this.provenAt >= unresponsiveSilenceMs) {
      this.heardAgainAt = now;
    }
    this.lastAliveAt = now;
    this.provenAt = now;
  }

  /** Whether the server has sent something since then. */
  hasProvenLife(since: Milliseconds): boolean {
    return this.provenAt >= since;
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
  noteLoad(calls: number, now: Milliseconds): void {
    this.reportedCalls = calls;
    this.told = { calls, asOf: now, ownCalls: this.calls };
  }

  noteRestart(now: Milliseconds): void {
    this.told = undefined;
    this.stepTimeRatio = 1;
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
      this.awaySince = now;
      this.log.warn('A server gets no work until its next heartbeat.', {
        server: this.record.serverId,
        reason: this.lastReason,
        sequence: this.record.sequence,
      });
    },
    recordSilence: (now: Milliseconds): void => {
      this.awaySince = now;
      this.log.warn('A server is silent; new calls go elsewhere.', {
        server: this.record.serverId,
        reason: this.lastReason,
        sequence: this.record.sequence,
      });
    },
    recordLoss: (now: Milliseconds): void => {
      this.log.warn('A silent server counts as lost.', {
        server: this.record.serverId,
        afterMs: Math.round(now - this.awaySince),
      });
    },
    recordReturn: (now: Milliseconds): void => {
      this.log.info('A silent server is back.', {
        server: this.record.serverId,
        afterMs: Math.round(now - this.awaySince),
      });
      this.returnedAt = now;
      this.handleReturn(now);
    },
    isNewHeartbeat: (now: Milliseconds): boolean =>
      now - this.awaySince >= heartbeatDelayMs,
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
      recordSilence: (server, _, now) => {
        server.chartActions.recordSilence(now);
      },
      recordLoss: (server, _, now) => {
        server.chartActions.recordLoss(now);
      },
      recordReturn: (server, _, now) => {
        server.chartActions.recordReturn(now);
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
      LOSS_SILENCE: () => lossSilenceMs,
    },
  });
