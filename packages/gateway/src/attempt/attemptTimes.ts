/** When an attempt was sent and got its connection, for the log lines of its call. */
import type { Milliseconds } from '@lycheetally/common';
import type { GatewayCall } from '../calls/gatewayCall.js';

export class AttemptTimes {
  private connectedAt: Milliseconds | undefined;
  /** Age of what the gateway had read when it wrote the request, such as the end of its caller. */
  private viewAgeMs: Milliseconds | undefined;

  constructor(
    private readonly call: GatewayCall,
    private readonly sentAt: Milliseconds,
  ) {}

  noteConnected(now: Milliseconds): void {
    const { services } = this.call;
    const { metrics } = services;
    this.connectedAt = now;
    this.viewAgeMs = services.measureViewAge(now);
    metrics.observeConnect(now - this.sentAt);
    metrics.observeWrite(this.viewAgeMs);
  }

  describe(): Readonly<Record<string, number>> {
    const { call, sentAt, connectedAt, viewAgeMs = -1 } = this;
    return {
      sentMs: Math.round(sentAt - call.received.receivedAt),
      connectMs:
        connectedAt === undefined ? -1 : Math.round(connectedAt - sentAt),
      viewAgeMs: Math.round(viewAgeMs),
    };
  }
}
