/**
 * Handles the loss of a backend server that calls use, and its silence. Each attempt is told
 * in an event of its own, as the choice of other servers may be expensive.
 *
 * A silence may be the pause of a sound server, so it ends no call: an attempt moves away
 * only if another server can take it at once, and otherwise goes on where it is. A refused
 * connection, a restart and a lapsed entry are evidence of the loss, and end its attempts.
 */
import type { ChartTimers } from '@lycheetally/charts';
import { Emitter, type Milliseconds } from '@lycheetally/common';
import { createBackendFault } from '../attempt/attemptFaults.js';
import { listAttempts } from '../calls/callHedge.js';
import { unresponsiveSilenceMs } from '../constants.js';
import type { GatewayAttempt } from '../attempt/gatewayAttempt.js';
import type { GatewayCall } from '../calls/gatewayCall.js';
import type { GatewayMetrics } from '../gatewayMetrics.js';
import type { ServerControlPort } from '../ports.js';
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
  /** Emits the time at which a server became known to be lost. */
  readonly serverLost = new Emitter<Milliseconds>();
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
      isKnown: server =>
        services.serverRegistry.find(server.record.serverId) === server,
      handleAnswer: (server, now) => {
        this.reportAlternative(server, now);
      },
      handleUnresponsive: (server, reason, now) => {
        this.noteSilent(server, reason, now);
      },
      handleRefused: (server, reason, now) => {
        this.noteRefused(server, reason, now);
      },
    });
  }

  /** Probes a server that may have failed. */
  checkServer(server: Server, suspicion: string, now: Milliseconds): void {
    this.checks.request(server, suspicion, now);
  }

  /** Handles a server that is known to have lost its running calls. */
  handleLost(server: Server, now: Milliseconds): void {
    this.sendToAttempts('SERVER_LOST', server, 0, now);
    this.checkOtherServers(server, now);
    this.serverLost.emit(now);
  }

  /** Handles a server that did not answer a question; its attempts that are silent too look for another one. */
  noteSilent(server: Server, reason: string, now: Milliseconds): void {
    if (!server.isAvailable) {
      return;
    }
    server.noteSilent(reason, now);
    this.checks.observe(server, now);
    this.sendToSilentAttempts('SERVER_SILENT', server, now);
    this.requestProofs(server, now);
  }

  /** Handles a server that refuses connections. If it is only leaving, it may still finish its streams, so only silent attempts fail. */
  noteRefused(server: Server, reason: string, now: Milliseconds): void {
    server.noteUnreachable(reason, now);
    this.sendToSilentAttempts('SERVER_LOST', server, now);
    this.checkOtherServers(server, now);
    this.serverLost.emit(now);
  }

  private sendToSilentAttempts(
    type: 'SERVER_LOST' | 'SERVER_SILENT',
    server: Server,
    now: Milliseconds,
  ): void {
    this.sendToAttempts(type, server, unresponsiveSilenceMs, now);
    this.services.timers.schedule(unresponsiveSilenceMs, later => {
      if (!server.isAvailable) {
        this.sendToAttempts(type, server, unresponsiveSilenceMs, later);
      }
    });
  }

  /** Sends the event to attempts whose chain uses the server. A plain server's attempts find out by their own checks. */
  private sendToAttempts(
    type: 'SERVER_LOST' | 'SERVER_SILENT',
    server: Server,
    silenceMs: Milliseconds,
    now: Milliseconds,
  ): void {
    const { serverId } = server.record;
    for (const attempt of this.listSilentAttempts(silenceMs, now)) {
      if (attempt.servers.has(server)) {
        this.postServerEvent(attempt, type, serverId, silenceMs);
      }
    }
  }

  /** Tells the attempts that a silent server holds up that another server lives. */
  private reportAlternative(alive: Server, now: Milliseconds): void {
    for (const attempt of this.listSilentAttempts(unresponsiveSilenceMs, now)) {
      const serverId = attempt.silence.findSilentServer();
      if (
        serverId !== undefined &&
        attempt.admitted.service.name === alive.record.service
      ) {
        this.postServerEvent(
          attempt,
          'SERVER_SILENT',
          serverId,
          unresponsiveSilenceMs,
        );
      }
    }
  }

  /** Lists the attempts with a chain that have been silent for that long. */
  private listSilentAttempts(
    silenceMs: Milliseconds,
    now: Milliseconds,
  ): readonly GatewayAttempt[] {
    return [...this.services.listCalls()]
      .flatMap(listAttempts)
      .filter(
        ({ chosen, silence }) =>
          chosen.chain.length > 0 && silence.isSilentFor(silenceMs, now),
      );
  }

  /** Probes the other servers: they are often lost together. */
  private checkOtherServers(lost: Server, now: Milliseconds): void {
    for (const server of this.listOtherServers(lost)) {
      this.checks.request(server, 'another server was lost', now);
    }
  }

  /** Has the other servers prove that they live now, since calls move only to those that do. */
  private requestProofs(silent: Server, now: Milliseconds): void {
    for (const server of this.listOtherServers(silent)) {
      this.checks.requestProof(server, 'another server is silent', now);
    }
  }

  /** Lists the usable servers of the service; of a model those that hold layers. */
  private listOtherServers({ record }: Server): readonly Server[] {
    const { service, range } = record;
    return this.services.serverRegistry
      .listUsable(service)
      .filter(server => !range || server.record.range !== undefined);
  }

  private postServerEvent(
    attempt: GatewayAttempt,
    type: 'SERVER_LOST' | 'SERVER_SILENT',
    serverId: string,
    silenceMs: Milliseconds,
  ): void {
    const state = type === 'SERVER_LOST' ? 'gone' : 'silent';
    const fault = createBackendFault(
      `server ${serverId} of the chain is ${state}`,
    );
    this.services.postCompletion(now => {
      if (attempt.silence.isSilentFor(silenceMs, now)) {
        attempt.instance.send({ type, fault, lost: serverId }, now);
      }
    });
  }
}
