/** Probes backend servers that may have failed; context of the chart `serverCheck`. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type { Milliseconds, Result } from '@lycheetally/common';
import { checkIntervalMs, reportTimeoutMs } from './constants.js';
import { ConnectionUse, type ServerControlPort } from './ports.js';
import type { Server } from './server.js';

export interface CheckEvent {
  readonly type: 'SUSPECTED' | 'ANSWERED' | 'UNANSWERED';
}

export type CheckMachine = ChartMachine<ServerCheck, CheckEvent>;

/** Services that the checks use. */
export interface CheckServices {
  readonly timers: ChartTimers;
  readonly control: ServerControlPort;
  postCompletion(run: (now: Milliseconds) => void): void;
  countProbe(): void;
  /** Called when the server did not answer its probes. */
  handleUnresponsive(server: Server, reason: string, now: Milliseconds): void;
}

/** Probes one server. */
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

  /** Probes the server, unless it is being probed or was probed recently. */
  request(suspicion: string, now: Milliseconds): void {
    if (this.chart.matches('idle')) {
      this.suspicion = suspicion;
      this.chart.send({ type: 'SUSPECTED' }, now);
    }
  }

  readonly chartActions = {
    requestReport: (now: Milliseconds): void => {
      this.requestReport(ConnectionUse.Kept, now);
    },
    requestReportAgain: (now: Milliseconds): void => {
      this.requestReport(ConnectionUse.New, now);
    },
    noteAlive: (now: Milliseconds): void => {
      this.server.lastAliveAt = now;
    },
    noteUnresponsive: (now: Milliseconds): void => {
      this.services.handleUnresponsive(this.server, this.suspicion, now);
    },
  };

  private requestReport(connection: ConnectionUse, now: Milliseconds): void {
    const { services, server } = this;
    server.intake.noteSent(now);
    services.countProbe();
    void services.control
      .readReport(server.record.address, reportTimeoutMs, connection)
      .then(report => {
        services.postCompletion(answeredAt => {
          const type = report.err ? 'UNANSWERED' : 'ANSWERED';
          this.chart.send({ type }, answeredAt);
        });
      });
  }
}

/** The checks of all servers that were ever suspected to have failed. */
export class ServerChecks {
  private readonly checks = new WeakMap<Server, ServerCheck>();

  constructor(
    private readonly machine: CheckMachine,
    private readonly services: CheckServices,
  ) {}

  /** Probes the server, unless it gets no calls anyway or was probed recently. */
  request(server: Server, suspicion: string, now: Milliseconds): void {
    if (!server.isAvailable) {
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
      requestReport: (check, _, now) => {
        check.chartActions.requestReport(now);
      },
      requestReportAgain: (check, _, now) => {
        check.chartActions.requestReportAgain(now);
      },
      noteAlive: (check, _, now) => {
        check.chartActions.noteAlive(now);
      },
      noteUnresponsive: (check, _, now) => {
        check.chartActions.noteUnresponsive(now);
      },
    },
    guards: {},
    delays: { CHECK_INTERVAL: () => checkIntervalMs },
  });
