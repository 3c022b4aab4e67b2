/** The pauses between the events of a stream, which tell how fast the servers of its chain are. */
import type { Milliseconds } from '@lycheetally/common';
import type { GatewayAttempt } from './gatewayAttempt.js';
import { toBalancedCall } from '../calls/chooseServers.js';

export class AttemptPace {
  private lastEventAt: Milliseconds | undefined;

  constructor(private readonly attempt: GatewayAttempt) {}

  /** Events that come together share the pause before them; the first one of a run ends no pause. */
  noteEvents(count: number, now: Milliseconds): void {
    const { call, admitted, chosen } = this.attempt;
    const balanced = toBalancedCall(call, admitted);
    if (this.lastEventAt !== undefined && balanced) {
      call.services.balance.notePause(
        balanced,
        { stages: chosen.chain, stageMs: chosen.stageMs },
        (now - this.lastEventAt) / count,
      );
    }
    this.lastEventAt = now;
  }

  /** Handles that this gateway stops reading for a slow caller; the next pause tells nothing of the servers. */
  noteHeld(): void {
    this.lastEventAt = undefined;
  }
}
