/** How far the answer to an attempt has come. */
import type { GatewayCall } from './gatewayCall.js';

/** Events after which a server is certain to write the answer. */
const minEventsUnderWay = 2;

export class AttemptProgress {
  private readonly eventsBefore: number;

  constructor(private readonly call: GatewayCall) {
    this.eventsBefore = call.eventsReceived;
  }

  /** Events that this attempt added to the answer. */
  get events(): number {
    return this.call.eventsReceived - this.eventsBefore;
  }

  /** Whether the server has sent more than the beginning of its answer. */
  get isUnderWay(): boolean {
    return this.events >= minEventsUnderWay;
  }
}
