/** What a gateway does when a backend server of its calls is gone, or seems to be. */
import type { ChartTimers } from '@lycheetally/charts';
import type { Milliseconds } from '@lycheetally/common';
import { describeBreak } from './attemptFaults.js';
import { goneSilenceMs } from './constants.js';
import type { GatewayCall } from './gatewayCall.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { ServerControlPort } from './ports.js';
import type { Server } from './server.js';
import type { ServerBook } from './serverBook.js';
import { ServerChecks, type CheckMachine } from './serverCheck.js';

/** What the losses need of their process. */
export interface LossServices {
  readonly timers: ChartTimers;
  readonly control: ServerControlPort;
  readonly metrics: GatewayMetrics;
  readonly book: ServerBook;
  postCompletion(run: (now: Milliseconds) => void): void;
  listCalls(): Iterable<GatewayCall>;
}

export class ServerLosses {
  private readonly checks: ServerChecks;

  constructor(
    machine: CheckMachine,
    private readonly services: LossServices,
  ) {
    this.checks = new ServerChecks(machine, {
      timers: services.timers,
      control: services.control,
      postCompletion: run => {
        services.postCompletion(run);
      },
      countProbe: () => {
        services.metrics.countProbe();
      },
      handleGone: (server, reason, now) => {
        server.noteUnreachable(reason, now);
        this.handleGone(server, now);
      },
    });
  }

  /** Asks the server whether it lives. */
  checkServer(server: Server, suspicion: string, now: Milliseconds): void {
    this.checks.request(server, suspicion, now);
  }

  /** The server is known to have lost its calls. */
  handleLost(server: Server, now: Milliseconds): void {
    this.endCalls(server, 0, now);
    this.checkOthers(server, now);
  }

  /** A server that leaves may answer no question and yet finish its streams. */
  private handleGone(server: Server, now: Milliseconds): void {
    this.endCalls(server, goneSilenceMs, now);
    this.services.timers.schedule(goneSilenceMs, later => {
      this.endCalls(server, goneSilenceMs, later);
    });
    this.checkOthers(server, now);
  }

  /** Only chains stall as a whole; a plain server's own connection tells. */
  private endCalls(
    server: Server,
    silenceMs: Milliseconds,
    now: Milliseconds,
  ): void {
    const { serverId } = server.record;
    const fault = describeBreak(`server ${serverId} of the chain is gone`);
    for (const { attempt } of [...this.services.listCalls()]) {
      if (
        attempt &&
        attempt.chosen.chain.length > 0 &&
        attempt.usesServer(server) &&
        attempt.isSilentFor(silenceMs, now)
      ) {
        attempt.instance.send({ type: 'SERVER_LOST', fault }, now);
      }
    }
  }

  /** Servers are often lost together; each that is not known yet costs a repeat a call. */
  private checkOthers(lost: Server, now: Milliseconds): void {
    for (const server of this.services.book.listUsable(lost.record.service)) {
      if (server.record.range) {
        this.checkServer(server, 'another server was lost', now);
      }
    }
  }
}
