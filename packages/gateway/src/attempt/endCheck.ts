/**
 * Whether an answer that only the end of its connection delimits is whole.
 *
 * The kernel closes the connections of a killed process in order if nothing unread waits. So such
 * an end counts if its server, and each later one of its chain, still accepts connections. If not,
 * another run tells what is missing, and where none may be made the answer isn't told as complete.
 * That costs an answer without length or chunks a connection to each server and a moment; others
 * aren't checked.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { BackendRecord } from '@lycheetally/decisions';
import { createBackendFault } from './attemptFaults.js';
import type { GatewayAttempt } from './gatewayAttempt.js';
import { mayRunElsewhere } from '../calls/repeatRules.js';
import { AcceptResult } from '../suspects/acceptResult.js';
import { checkAccepts } from '../suspects/crashCheck.js';

export class EndCheck {
  constructor(private readonly attempt: GatewayAttempt) {}

  /** Asks whether the servers that made the answer live. */
  check(): void {
    const { record, chosen } = this.attempt;
    const later = chosen.chain.slice(1).map(({ server }) => server);
    const servers = [record, ...later];
    const results: AcceptResult[] = [];
    let unanswered = servers.length;
    servers.forEach((server, at) => {
      checkAccepts(server.address, result => {
        results[at] = result;
        unanswered -= 1;
        if (unanswered === 0) {
          this.report(servers, results);
        }
      });
    });
  }

  /** Whether the server is gone as it or the list said, and no other one can tell what is missing. */
  isPlanned(now: Milliseconds): boolean {
    const { answer, call, admitted, chosen } = this.attempt;
    const isLeaving =
      answer.head?.fields.isLeaving === true ||
      chosen.first.record.isLeaving ||
      !call.services.serverRegistry.find(chosen.first.record.serverId);
    return isLeaving && !mayRunElsewhere(call, admitted, now);
  }

  private report(
    servers: readonly Pick<BackendRecord, 'serverId'>[],
    results: readonly AcceptResult[],
  ): void {
    const lost = servers.find((_, at) => results[at] === AcceptResult.Absent);
    if (lost) {
      this.reportDoubt(lost.serverId);
    } else {
      const isClosed = results.includes(AcceptResult.Closed);
      this.attempt.send({ type: isClosed ? 'END_CLOSED' : 'END_CONFIRMED' });
    }
  }

  private reportDoubt(lost: string): void {
    const { attempt } = this;
    attempt.call.endedAfter = attempt.answer.events?.lastEventId;
    // Another server has to tell.
    attempt.call.avoided.add(lost);
    attempt.send({
      type: 'END_DOUBTED',
      lost,
      fault: createBackendFault(
        `server ${lost} is gone after an answer without length or chunks`,
      ),
      isClosedByServer: true,
    });
  }
}
