/** Probes backend servers that may have failed, and watches silent ones; context of the chart `serverCheck`. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import {
  ErrorKind,
  type Milliseconds,
  type Result,
  type ValueOf,
} from '@lycheetally/common';
import {
  checkIntervalMs,
  reportTimeoutMs,
  watchPauseMs,
  watchTimeoutMs,
} from '../constants.js';
import {
  ConnectionUse,
  type ServerControlPort,
  type ServerReport,
} from '../ports.js';
import type { Server } from './server.js';

export interface CheckEvent {
  readonly type: 'SUSPECTED' | 'PROOF_WANTED' | 'SILENT' | ProbeResult;
}

export type CheckMachine = ChartMachine<ServerCheck, CheckEvent>;

/** Services that the checks use. */
export interface CheckServices {
  readonly timers: ChartTimers;
  readonly control: ServerControlPort;
  postCompletion(run: (now: Milliseconds) => void): void;
  countProbe(): void;
  /** Whether the server is still in use; one that left the list is not probed any more. */
  isKnown(server: Server): boolean;
  /** Called when the server answered a probe. */
  handleAnswer(server: Server, now: Milliseconds): void;
  /** Called when the server did not answer its probes. */
  handleUnresponsive(server: Server, reason: string, now: Milliseconds): void;
  /** Called when the server's VM refused the connection of a probe. */
  handleRefused(server: Server, reason: string, now: Milliseconds): void;
}

/** What the result of a probe says about its server. */
export const ProbeResult = {
  /** It lives: any answer is a sign of life, also one that is no report. */
  Answered: 'ANSWERED',
  /** Nothing came, which may be a pause. */
  Unanswered: 'UNANSWERED',
  /** No process listens at its address any more. */
  Refused: 'REFUSED',
  /** The connection was reset: the server takes no more of them, or its process just ended. */
  Reset: 'RESET',
} as const;
export type ProbeResult = ValueOf<typeof ProbeResult>;

export const toProbeResult = (report: Result<ServerReport>): ProbeResult =>
  report.ok
    ? ProbeResult.Answered
    : (resultsByError[report.val.kind] ?? ProbeResult.Unanswered);

const resultsByError: Readonly<Partial<Record<ErrorKind, ProbeResult>>> = {
  [ErrorKind.BadAddress]: ProbeResult.Refused,
  [ErrorKind.ConnectionLost]: ProbeResult.Reset,
  [ErrorKind.BackendFailed]: ProbeResult.Answered,
};

/** Probes one server. */
export class ServerCheck {
  private suspicion = '';
  private probes = 0;
  /** When the newest probe was sent. */
  private askedAt: Milliseconds = 0;
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

  /** Probes the server even if it was probed recently; it is to prove that it lives now. */
  requestProof(suspicion: string, now: Milliseconds): void {
    this.suspicion = suspicion;
    this.chart.send({ type: 'PROOF_WANTED' }, now);
  }

  /** Watches a server that is known to be silent until it says something. */
  observe(now: Milliseconds): void {
    this.chart.send({ type: 'SILENT' }, now);
  }

  readonly chartActions = {
    requestReport: (now: Milliseconds): void => {
      this.requestReport(ConnectionUse.Kept, reportTimeoutMs, now);
    },
    requestReportAgain: (now: Milliseconds): void => {
      this.requestReport(ConnectionUse.New, reportTimeoutMs, now);
    },
    requestWatch: (now: Milliseconds): void => {
      this.requestReport(ConnectionUse.New, watchTimeoutMs, now);
    },
    noteAlive: (now: Milliseconds): void => {
      this.server.noteAnswer(this.askedAt, now);
      this.services.handleAnswer(this.server, now);
    },
    noteRefused: (now: Milliseconds): void => {
      this.services.handleRefused(this.server, this.suspicion, now);
    },
    isSilent: (): boolean =>
      this.server.isSilent && this.services.isKnown(this.server),
    noteUnresponsive: (now: Milliseconds): void => {
      this.services.handleUnresponsive(this.server, this.suspicion, now);
    },
  };

  private requestReport(
    connection: ConnectionUse,
    timeoutMs: Milliseconds,
    now: Milliseconds,
  ): void {
    const { services, server } = this;
    this.probes += 1;
    this.askedAt = now;
    const { probes } = this;
    server.intake.noteSent(now);
    services.countProbe();
    void services.control
      .readReport(server.record.address, timeoutMs, connection)
      .then(report => {
        services.postCompletion(answeredAt => {
          // Of an earlier probe only an answer tells something.
          if (report.ok || probes === this.probes) {
            this.chart.send({ type: toProbeResult(report) }, answeredAt);
          }
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
    this.getCheck(server, now).request(suspicion, now);
  }

  /** Probes a server that is to prove that it lives now, unless it gets no calls anyway. */
  requestProof(server: Server, suspicion: string, now: Milliseconds): void {
    if (server.isAvailable) {
      this.getCheck(server, now).requestProof(suspicion, now);
    }
  }

  /** Watches a silent server until it says something. */
  observe(server: Server, now: Milliseconds): void {
    this.getCheck(server, now).observe(now);
  }

  private getCheck(server: Server, now: Milliseconds): ServerCheck {
    const check =
      this.checks.get(server) ??
      new ServerCheck(this.machine, this.services, server, now);
    this.checks.set(server, check);
    return check;
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
      requestWatch: (check, _, now) => {
        check.chartActions.requestWatch(now);
      },
      noteAlive: (check, _, now) => {
        check.chartActions.noteAlive(now);
      },
      noteRefused: (check, _, now) => {
        check.chartActions.noteRefused(now);
      },
      noteUnresponsive: (check, _, now) => {
        check.chartActions.noteUnresponsive(now);
      },
    },
    guards: { isSilent: check => check.chartActions.isSilent() },
    delays: {
      CHECK_INTERVAL: () => checkIntervalMs,
      WATCH_PAUSE: () => watchPauseMs,
    },
  });
