/** One backend server as a gateway knows it; host of the chart `serverHealth`. */
import {
  ChartMachine,
  ChartName,
  loadChart,
  type ChartInstance,
  type ChartTimers,
} from '@lycheetally/charts';
import type { Milliseconds, PartLogger, Result } from '@lycheetally/common';
import type { BackendRecord, StageLoad } from '@lycheetally/decisions';
import {
  firstSuspensionMs,
  maxErrorsInRow,
  maxSuspensionMs,
} from './constants.js';

export interface HealthEvent {
  readonly type: 'SUCCEEDED' | 'ERRED' | 'UNREACHABLE' | 'REBORN';
}

export type HealthMachine = ChartMachine<Server, HealthEvent>;

export class Server {
  /** Calls under way of which it is the first server. */
  calls = 0;
  /** Tokens times layers of the calls under way. */
  layerTokens = 0;
  private errorsInRow = 0;
  private suspensions = 0;
  private lastReason = '';
  private readonly chart: ChartInstance<Server, HealthEvent>;

  constructor(
    machine: HealthMachine,
    timers: ChartTimers,
    public record: BackendRecord,
    private readonly log: PartLogger,
    now: Milliseconds,
  ) {
    this.chart = machine.createInstance(this, timers);
    this.chart.start(now);
  }

  /** Whether work may be sent there, as far as its calls have shown. */
  get isTrusted(): boolean {
    return !this.chart.matches('suspended');
  }

  get load(): StageLoad {
    const { layerTokens, calls } = this;
    return { layerTokens, firstRequests: calls, slowness: 1 };
  }

  noteSuccess(now: Milliseconds): void {
    if (this.errorsInRow > 0 || !this.chart.matches('trusted')) {
      this.chart.send({ type: 'SUCCEEDED' }, now);
    }
  }

  noteError(reason: string, now: Milliseconds): void {
    this.lastReason = reason;
    this.chart.send({ type: 'ERRED' }, now);
  }

  noteUnreachable(reason: string, now: Milliseconds): void {
    this.lastReason = reason;
    this.chart.send({ type: 'UNREACHABLE' }, now);
  }

  noteReborn(now: Milliseconds): void {
    this.chart.send({ type: 'REBORN' }, now);
  }

  dispose(): void {
    this.chart.dispose();
  }

  /** Actions, guards and delays of the chart. */
  readonly chartActions = {
    resetErrors: (): void => {
      this.errorsInRow = 0;
    },
    countError: (): void => {
      this.errorsInRow += 1;
    },
    resetSuspensions: (): void => {
      this.suspensions = 0;
    },
    noteSuspended: (): void => {
      this.suspensions += 1;
      this.log.warn('A server gets no work for a while.', {
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
    hasErredOften: (): boolean => this.errorsInRow + 1 >= maxErrorsInRow,
  };

  computeSuspension(): Milliseconds {
    const doubled = firstSuspensionMs * 2 ** (this.suspensions - 1);
    return Math.min(maxSuspensionMs, doubled);
  }
}

/** Binds the chart `serverHealth`. Fails with `BadChart`. */
export const bindHealthChart = (): Result<HealthMachine> =>
  loadChart(ChartName.ServerHealth).andThen(chart =>
    ChartMachine.bind<Server, HealthEvent>(chart, {
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
        noteSuspended: server => {
          server.chartActions.noteSuspended();
        },
        noteTrial: server => {
          server.chartActions.noteTrial();
        },
      },
      guards: { hasErredOften: server => server.chartActions.hasErredOften() },
      delays: { SUSPENSION: server => server.computeSuspension() },
    }),
  );
