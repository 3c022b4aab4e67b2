/**
 * Whether an answer that only the end of its connection delimits is whole.
 *
 * The kernel closes the connections of a killed process in order if nothing unread waits. So such
 * an end counts if its server still accepts connections. If not, another run tells what is missing,
 * and where none may be made the answer isn't told as complete. That costs an answer without length
 * or chunks one connection and a moment; others aren't checked.
 */
import type { Milliseconds } from '@lycheetally/common';
import { createBackendFault } from './attemptFaults.js';
import { claimAnswer } from './callHedge.js';
import type { GatewayAttempt } from './gatewayAttempt.js';
import { mayRunElsewhere } from './repeatRules.js';
import { AcceptResult } from './suspects/acceptResult.js';
import { checkAccepts } from './suspects/crashCheck.js';

export class AttemptEnd {
  constructor(private readonly attempt: GatewayAttempt) {}

  /** Asks whether the server that ended the answer lives. */
  check(): void {
    const { record } = this.attempt;
    checkAccepts(record.address, result => {
      if (result === AcceptResult.Absent) {
        this.reportDoubt();
      } else {
        const isOpen = result === AcceptResult.Open;
        this.attempt.send({ type: isOpen ? 'END_CONFIRMED' : 'END_CLOSED' });
      }
    });
  }

  /** Takes the answer for whole, unless another run answers the call. */
  take(): void {
    const { attempt } = this;
    if (claimAnswer(attempt)) {
      attempt.send({ type: 'COMPLETE' });
    }
  }

  /** Whether the server is gone as it said it would be, and no other one can tell what is missing. */
  isPlanned(now: Milliseconds): boolean {
    const { answer, call, admitted, chosen } = this.attempt;
    const isLeaving =
      answer.head?.fields.isLeaving === true || chosen.first.record.isLeaving;
    return isLeaving && !mayRunElsewhere(call, admitted, now);
  }

  private reportDoubt(): void {
    const { attempt } = this;
    // Another server has to tell.
    attempt.blame.keepFromFaultyServers();
    attempt.call.endedAfter = attempt.answer.events?.lastEventId;
    attempt.send({
      type: 'END_DOUBTED',
      fault: createBackendFault(
        'the server is gone after an answer without length or chunks',
      ),
      isClosedByServer: true,
    });
  }
}
