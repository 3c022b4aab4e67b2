/** When an attempt was sent and got its connection, for the log lines of its call. */
import type { Milliseconds } from '@lycheetally/common';
import type { GatewayCall } from '../calls/gatewayCall.js';

export class AttemptTimes {
  private connectedAt: Milliseconds | undefined;
  /** Age of what the gateway had read when it sent the attempt, such as the end of its caller. */
  private readonly viewAgeMs: Milliseconds;

  constructor(
    private readonly call: GatewayCall,
    private readonly sentAt: Milliseconds,
  ) {
    this.viewAgeMs = sentAt - call.services.getPolledAt();
    call.services.metrics.observeSend(this.viewAgeMs);
  }

  noteConnected(now: Milliseconds): void {
    this.connectedAt = now;
    this.call.services.metrics.observeConnect(now - this.sentAt);
  }

  describe(): Readonly<Record<string, number>> {
    const { call, sentAt, connectedAt } = this;
    return {
      sentMs: Math.round(sentAt - call.received.receivedAt),
      viewAgeMs: Math.round(this.viewAgeMs),
      connectMs:
        connectedAt === undefined ? -1 : Math.round(connectedAt - sentAt),
    };
  }
}
