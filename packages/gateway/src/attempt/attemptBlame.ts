/** Decides which server is at fault when an attempt fails, and records it for this and later calls. */
import type { Milliseconds } from '@lycheetally/common';
import type { AttemptEvent, GatewayAttempt } from './gatewayAttempt.js';

/** Events after which a part of an answer is all there is. */
const brokenTypes: ReadonlySet<AttemptEvent['type']> = new Set([
  'BROKEN',
  'END_DOUBTED',
]);

export class AttemptBlame {
  constructor(private readonly attempt: GatewayAttempt) {}

  /** Records the fault at the server that refused, or at the first server. */
  reportFault(
    type: AttemptEvent['type'],
    message: string,
    now: Milliseconds,
  ): void {
    const { answer, chosen, call } = this.attempt;
    const { head } = answer;
    if (head?.fields.refusedBy !== undefined) {
      this.noteRefusal(head.fields.refusedBy, now);
    } else if (head?.fields.isMisdirected) {
      this.reportUnreachable(chosen.first.record.address, message, now);
    } else if (type === 'OVERFLOWED') {
      chosen.first.noteOverflow(message, now);
    } else if (type === 'ERROR') {
      chosen.first.noteError(message, now);
    } else if (brokenTypes.has(type) && !call.services.isCancellingCalls()) {
      chosen.first.noteError(message, now);
    }
  }

  /** Marks the server at the address as unreachable for this and later calls. */
  reportUnreachable(address: string, reason: string, now: Milliseconds): void {
    const { call } = this.attempt;
    const server = call.services.serverRegistry.findByAddress(address);
    if (server) {
      call.avoided.add(server.record.serverId);
      server.noteUnreachable(reason, now);
      call.services.lossHandler.handleLost(server, now);
    }
  }

  /** Keeps the call away from the servers that the chain lost, or from the first server unless it refused for another one. */
  keepFromFaultyServers(): void {
    const { repair, answer, chosen } = this.attempt;
    if (repair.lostServers.size > 0) {
      repair.lostServers.forEach(serverId => {
        this.keepFrom(serverId);
      });
    } else if (answer.head?.fields.refusedBy === undefined) {
      this.keepFrom(chosen.first.record.serverId);
    }
  }

  /** A silent server may serve the call when it is back. */
  private keepFrom(serverId: string): void {
    const { call } = this.attempt;
    if (!call.services.serverRegistry.find(serverId)?.isSilent) {
      call.avoided.add(serverId);
    }
  }

  /**
   * Handles a refusal that names a server. The server is full, unloading layers
   * or gone; only in the last case do its running calls fail, so it is probed.
   */
  private noteRefusal(address: string, now: Milliseconds): void {
    const { call, chosen } = this.attempt;
    const server = call.services.serverRegistry.findByAddress(address);
    if (!server) {
      return;
    }
    call.avoided.add(server.record.serverId);
    server.noteRefusal(now);
    if (server !== chosen.first) {
      call.services.lossHandler.checkServer(server, 'a refusal named it', now);
    }
  }
}
