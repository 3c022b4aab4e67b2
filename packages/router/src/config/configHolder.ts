/** Keeps an agent's copy of the configuration, which entries can request. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type { Milliseconds, Result } from '@lycheetally/common';
import { isNewer, type ConfigState } from '@lycheetally/decisions';
import type { EventLog } from '../eventLog.js';

export interface ConfigHolderEvent {
  readonly type: 'PEER_STATE_RECEIVED';
  readonly state: ConfigState;
}

export class ConfigHolder {
  state: ConfigState | undefined;
  private readonly chart: ChartInstance<ConfigHolder, ConfigHolderEvent>;

  constructor(
    machine: ChartMachine<ConfigHolder, ConfigHolderEvent>,
    timers: ChartTimers,
    private readonly events: EventLog,
  ) {
    this.chart = machine.createInstance(this, timers);
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  receive(event: ConfigHolderEvent, now: Milliseconds): void {
    this.chart.send(event, now);
  }

  applyPeerState(event: ConfigHolderEvent, now: Milliseconds): void {
    const { configuration, lineage, through } = event.state;
    const { version } = configuration;
    if (version !== this.state?.configuration.version) {
      this.events.record('config-in-force', now, {
        detail: { version, lineage, through },
      });
    }
    this.state = event.state;
  }
}

/** Binds the chart `configHolder`. Fails with `BadChart`. */
export const bindHolderChart = (): Result<
  ChartMachine<ConfigHolder, ConfigHolderEvent>
> =>
  bindChart<ConfigHolder, ConfigHolderEvent>(ChartName.ConfigHolder, {
    actions: {
      applyPeerState: (holder, event, now) => {
        if (event) {
          holder.applyPeerState(event, now);
        }
      },
    },
    guards: {
      isNewerState: (holder, event) =>
        event !== undefined && isNewer(holder.state, event.state),
    },
    delays: {},
  });
