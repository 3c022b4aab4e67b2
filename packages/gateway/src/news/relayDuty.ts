/** Whether other gateways ask this one for news; context of the chart `newsRelay`. */
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
import { relayTimeoutMs } from '../constants.js';

interface RelayEvent {
  readonly type: 'ASKED';
}

export type RelayMachine = ChartMachine<RelayDuty, RelayEvent>;

export class RelayDuty {
  private readonly chart: ChartInstance<RelayDuty, RelayEvent>;

  constructor(
    machine: RelayMachine,
    timers: ChartTimers,
    private readonly log: ComponentLogger,
  ) {
    this.chart = machine.createInstance(this, timers);
  }

  /** Whether another gateway asked recently; this one then reads the store itself. */
  get isRelaying(): boolean {
    return this.chart.matches('relaying');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  noteAsked(now: Milliseconds): void {
    this.chart.send({ type: 'ASKED' }, now);
  }

  noteRelaying(): void {
    this.log.info('This gateway reads the store for others now.');
  }

  noteFollowing(): void {
    this.log.info('This gateway no longer reads the store for others.');
  }

  dispose(): void {
    this.chart.dispose();
  }
}

/** Binds the chart `newsRelay`. Fails with `BadChart`. */
export const bindRelayChart = (): Result<RelayMachine> =>
  bindChart<RelayDuty, RelayEvent>(ChartName.NewsRelay, {
    actions: {
      noteRelaying: duty => {
        duty.noteRelaying();
      },
      noteFollowing: duty => {
        duty.noteFollowing();
      },
    },
    guards: {},
    delays: { RELAY_TIMEOUT: () => relayTimeoutMs },
  });
