/** Asks backend servers that are suspected whether they live; host of the chart `serverCheck`. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type { Milliseconds, Result } from '@lycheetally/common';
import { checkPauseMs, reportBoundMs } from './constants.js';
import type { ServerControlPort } from './ports.js';
import type { Server } from './server.js';

export interface CheckEvent {
  readonly type: 'SUSPECTED' | 'ANSWERED' | 'UNANSWERED';
}

export type CheckMachine = ChartMachine<ServerCheck, CheckEvent>;

/** What the checks need of their process. */
export interface CheckServices {
  readonly timers: ChartTimers;
  readonly control: ServerControlPort;
  postCompletion(run: (now: Milliseconds) => void): void;
  countProbe(): void;
  /** Hears that the server answered no question. */
  handleGone(server: Server, reason: string, now: Milliseconds): void;
}

/** The checks of one server. */
export class ServerCheck {
  private suspicion = '';
  private readonly chart: ChartInstance<ServerCheck, CheckEvent>;

  constructor(
    machine: CheckMachine,
    private readonly services: CheckServices,
    private readonly server: Server,
    now: Milliseconds,
  ) {
    this.chart = machine.createInstance(this, services.timers);
    this.chart.start(now);
  }

  /** Asks the server, unless it was asked a moment ago. */
  request(suspicion: string, now: Milliseconds): void {
    if (this.chart.matches('idle')) {
      this.suspicion = suspicion;
      this.chart.send({ type: 'SUSPECTED' }, now);
    }
  }

  readonly chartActions = {
    requestReport: (): void => {
      const { services, server } = this;
      services.countProbe();
      void services.control
        .readReport(server.record.address, reportBoundMs)
        .then(report => {
          services.postCompletion(now => {
            const type = report.err ? 'UNANSWERED' : 'ANSWERED';
            this.chart.send({ type }, now);
          });
        });
    },
    noteAlive: (now: Milliseconds): void => {
      this.server.heardAt = now;
    },
    noteGone: (now: Milliseconds): void => {
      this.services.handleGone(this.server, this.suspicion, now);
    },
  };
}

/** The checks of all servers that were ever suspected. */
export class ServerChecks {
  private readonly checks = new WeakMap<Server, ServerCheck>();

  constructor(
    private readonly machine: CheckMachine,
    private readonly services: CheckServices,
  ) {}

  /** Asks the server whether it lives, unless that is known or under way. */
  request(server: Server, suspicion: string, now: Milliseconds): void {
    if (!server.isTrusted) {
      return;
    }
    const check =
      this.checks.get(server) ??
      new ServerCheck(this.machine, this.services, server, now);
    this.checks.set(server, check);
    check.request(suspicion, now);
  }
}

/** Binds the chart `serverCheck`. Fails with `BadChart`. */
export const bindCheckChart = (): Result<CheckMachine> =>
  bindChart<ServerCheck, CheckEvent>(ChartName.ServerCheck, {
    actions: {
      requestReport: check => {
        check.chartActions.requestReport();
      },
      noteAlive: (check, _, now) => {
        check.chartActions.noteAlive(now);
      },
      noteGone: (check, _, now) => {
        check.chartActions.noteGone(now);
      },
    },
    guards: {},
    delays: { CHECK_PAUSE: () => checkPauseMs },
  });
