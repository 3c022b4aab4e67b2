/** Handles the loss or suspected loss of a backend server that calls use. */
import type { ChartTimers } from '@lycheetally/charts';
import type { Milliseconds } from '@lycheetally/common';
import { createBackendFault } from './attemptFaults.js';
import { unresponsiveSilenceMs } from './constants.js';
import type { GatewayCall } from './gatewayCall.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { ServerControlPort } from './ports.js';
import type { Server } from './server.js';
import type { ServerRegistry } from './serverRegistry.js';
import { ServerChecks, type CheckMachine } from './serverCheck.js';

/** Services that the handling of losses uses. */
export interface LossServices {
  readonly timers: ChartTimers;
  readonly control: ServerControlPort;
  readonly metrics: GatewayMetrics;
  readonly serverRegistry: ServerRegistry;
  postCompletion(run: (now: Milliseconds) => void): void;
  listCalls(): Iterable<GatewayCall>;
}

export class ServerLossHandler {
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
      handleUnresponsive: (server, reason, now) => {
        server.noteUnreachable(reason, now);
        this.handleUnresponsive(server, now);
      },
    });
  }

  /** Probes a server that may have failed. */
  checkServer(server: Server, suspicion: string, now: Milliseconds): void {
    this.checks.request(server, suspicion, now);
  }

  /** Handles a server that is known to have lost its running calls. */
  handleLost(server: Server, now: Milliseconds): void {
    this.failAttempts(server, 0, now);
    this.checkOtherServers(server, now);
  }

  /** Handles a server that answers no probe. If it is only leaving, it may still finish its streams, so only silent attempts fail. */
  private handleUnresponsive(server: Server, now: Milliseconds): void {
    this.failAttempts(server, unresponsiveSilenceMs, now);
    this.services.timers.schedule(unresponsiveSilenceMs, later => {
      this.failAttempts(server, unresponsiveSilenceMs, later);
    });
    this.checkOtherServers(server, now);
  }

  /** Fails attempts whose chain uses the server. The loss of a plain server shows in the attempt's own connection. */
  private failAttempts(
    server: Server,
    silenceMs: Milliseconds,
    now: Milliseconds,
  ): void {
    const { serverId } = server.record;
    const fault = createBackendFault(`server ${serverId} of the chain is gone`);
    for (const { attempt } of [...this.services.listCalls()]) {
      if (
        attempt &&
        attempt.chosen.chain.length > 0 &&
        attempt.servers.has(server) &&
        attempt.isSilentFor(silenceMs, now)
      ) {
        const event = { type: 'SERVER_LOST', fault, lost: serverId } as const;
        attempt.instance.send(event, now);
      }
    }
  }

  /** Probes the other servers: they are often lost together, and each loss that is not yet known costs a retry per call. */
  private checkOtherServers(lost: Server, now: Milliseconds): void {
    for (const server of this.services.serverRegistry.listUsable(
      lost.record.service,
    )) {
      if (server.record.range) {
        this.checkServer(server, 'another server was lost', now);
      }
    }
  }
}
