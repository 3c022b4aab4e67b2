/**
 * What a backend server says in its answers that it takes; context of the chart
 * `serverIntake`.
 *
 * An answer without a limit ends the limit only if its request was sent after the limit
 * was named: answers on different connections overtake each other.
 */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type {
  ComponentLogger,
  Milliseconds,
  Result,
} from '@lycheetally/common';
import type { IntakePolicy } from '@lycheetally/decisions';
import { maxClosedMs } from '../constants.js';

export interface IntakeEvent {
  readonly type: 'LIMITED' | 'LIFTED' | 'CLOSED' | 'RESTARTED';
}

export type IntakeMachine = ChartMachine<ServerIntake, IntakeEvent>;

export interface IntakeServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  readonly policy: IntakePolicy;
}

/** What an answer says that its server takes. */
export interface IntakeNotice {
  /** Requests per second from all gateways; absent without a limit, NaN if it cannot be read. */
  readonly limitPerSecond: number | undefined;
  /** When the request was sent. */
  readonly sentAt: Milliseconds;
}

export class ServerIntake {
  /** Whether the server named a limit that is in force. */
  isLimited = false;
  private limitPerSecond = 0;
  private closedUntil: Milliseconds = -Infinity;
  private namedAt: Milliseconds = -Infinity;
  private readonly chart: ChartInstance<ServerIntake, IntakeEvent>;

  constructor(
    machine: IntakeMachine,
    private readonly services: IntakeServices,
    private readonly serverId: string,
    now: Milliseconds,
  ) {
    this.chart = machine.createInstance(this, services.timers);
    this.chart.start(now);
  }

  /** Counts a request that is sent to the server. */
  noteSent(now: Milliseconds): void {
    this.services.policy.noteSent(now);
  }

  /** Returns the time until the server takes a request of this gateway; 0 if it takes one now. */
  estimateWait(now: Milliseconds): Milliseconds {
    const waitMs = this.services.policy.estimateWait(now);
    return this.chart.matches('closed')
      ? Math.max(waitMs, this.closedUntil - now)
      : waitMs;
  }

  /** Handles a refusal with which the server wants no call from this gateway for a while. */
  noteTurnedAway(forMs: Milliseconds, now: Milliseconds): void {
    const until = now + Math.min(forMs, maxClosedMs);
    if (until > this.closedUntil) {
      this.closedUntil = until;
      this.chart.send({ type: 'CLOSED' }, now);
    }
  }

  noteAnswer(
    { limitPerSecond, sentAt }: IntakeNotice,
    now: Milliseconds,
  ): void {
    if (limitPerSecond === undefined) {
      if (this.isLimited && sentAt > this.namedAt) {
        this.chart.send({ type: 'LIFTED' }, now);
      }
      return;
    }
    this.namedAt = now;
    const isChanged = !this.isLimited || limitPerSecond !== this.limitPerSecond;
    if (isChanged && !Number.isNaN(limitPerSecond)) {
      this.limitPerSecond = limitPerSecond;
      this.chart.send({ type: 'LIMITED' }, now);
    }
  }

  noteRestarted(now: Milliseconds): void {
    this.closedUntil = -Infinity;
    this.chart.send({ type: 'RESTARTED' }, now);
  }

  dispose(): void {
    this.chart.dispose();
  }

  /** Actions of the chart. */
  readonly chartActions = {
    applyLimit: (now: Milliseconds): void => {
      const { serverId: server, limitPerSecond } = this;
      this.isLimited = true;
      this.services.policy.setLimit(limitPerSecond, now);
      this.services.log.info('A server named a limit.', {
        server,
        limitPerSecond,
      });
    },
    liftLimit: (now: Milliseconds): void => {
      this.isLimited = false;
      this.services.policy.setLimit(undefined, now);
      this.services.log.info('A server no longer names a limit.', {
        server: this.serverId,
      });
    },
    noteClosed: (now: Milliseconds): void => {
      this.services.log.info('A server wants no calls for a while.', {
        server: this.serverId,
        forMs: Math.round(this.closedUntil - now),
      });
    },
    computeClosedTime: (now: Milliseconds): Milliseconds =>
      Math.max(0, this.closedUntil - now),
  };
}

/** Binds the chart `serverIntake`. Fails with `BadChart`. */
export const bindIntakeChart = (): Result<IntakeMachine> =>
  bindChart<ServerIntake, IntakeEvent>(ChartName.ServerIntake, {
    actions: {
      applyLimit: (intake, _, now) => {
        intake.chartActions.applyLimit(now);
      },
      liftLimit: (intake, _, now) => {
        intake.chartActions.liftLimit(now);
      },
      noteClosed: (intake, _, now) => {
        intake.chartActions.noteClosed(now);
      },
    },
    guards: { hasLimit: intake => intake.isLimited },
    delays: {
      CLOSED_TIME: (intake, now) => intake.chartActions.computeClosedTime(now),
    },
  });
