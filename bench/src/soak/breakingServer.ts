/**
 * A backend server of a soak whose answers end in many ways, some of them before their last piece,
 * and of which many have neither a length nor chunks. Heads may come long before the first event,
 * and streams may pause.
 */
import type { ReceivedRequest } from '@lycheetally/testkit';
import {
  ChunkedAnswer,
  UnframedAnswer,
  WholeEnding,
  plainEndings,
  sendLateAnswer,
  streamEndings,
  type AnswerEnding,
  type OpenAnswer,
} from './answerEndings.js';
import { formatSoakEvent } from './soakEvents.js';
import { SoakServer, isStreamRequest, parseSteps } from './soakServers.js';

/** Milliseconds between two pieces. */
const pieceIntervalMs = 25;

/** Pieces of an answer that is not a stream. */
const plainPieces = 4;

/** Time from the head to the first event, for one stream in `delayedHeads`. */
const minHeadLeadMs = 100;
const maxHeadLeadMs = 800;
const delayedHeads = 3;

/** A pause between two events, for one stream in `pausedStreams`. */
const minPauseMs = 500;
const maxPauseMs = 1_500;
const pausedStreams = 8;

/** One answer in so many is chunked. */
const chunkedAnswers = 3;

interface AnswerPlan {
  readonly pieces: readonly string[];
  readonly ending: AnswerEnding;
  /** Number of pieces that come before the ending. */
  readonly written: number;
  readonly headLeadMs: number;
  /** Piece before which the server pauses. */
  readonly pauseAt: number;
  readonly pauseMs: number;
}

export class BreakingServer extends SoakServer {
  protected override reply(request: ReceivedRequest): void {
    const answer = this.random.pickInteger(chunkedAnswers)
      ? new UnframedAnswer(request)
      : new ChunkedAnswer(request);
    const isStream = isStreamRequest(request);
    const plan = this.planAnswer(request, isStream);
    const text = isStream ? '' : plan.pieces.join('');
    this.record(request, text, true, plan.ending.describe(answer));
    sendLateAnswer(request.socket);
    answer.begin(this.leavingHeaders);
    setTimeout(() => {
      writePieces(answer, plan, 0);
    }, plan.headLeadMs);
  }

  private planAnswer(request: ReceivedRequest, isStream: boolean): AnswerPlan {
    const pieces = isStream ? listEvents(request) : listPieces(request);
    const endings = isStream ? streamEndings : plainEndings;
    const drawn = this.random.pickOne(endings);
    const breakAt = this.random.pickInteger(Math.max(1, pieces.length));
    const headLeadMs = this.drawMs(delayedHeads, minHeadLeadMs, maxHeadLeadMs);
    const pauseMs = this.drawMs(pausedStreams, minPauseMs, maxPauseMs);
    const pauseAt = this.random.pickInteger(Math.max(1, pieces.length));
    const isBroken = drawn.isBreak && !this.isFaultFree && pieces.length > 0;
    return {
      pieces,
      ending: isBroken || !drawn.isBreak ? drawn : new WholeEnding(),
      written: isBroken ? breakAt : pieces.length,
      headLeadMs: isStream ? headLeadMs : 0,
      pauseAt,
      pauseMs: isStream && !this.isFaultFree ? pauseMs : 0,
    };
  }

  /** Draws a time for one answer in `oneIn`; 0 for the others. */
  private drawMs(oneIn: number, minMs: number, maxMs: number): number {
    const isDrawn = this.random.pickInteger(oneIn) === 0;
    const ms = minMs + this.random.pickInteger(maxMs - minMs);
    return isDrawn ? ms : 0;
  }
}

const writePieces = (
  answer: OpenAnswer,
  plan: AnswerPlan,
  at: number,
): void => {
  const { pieces, written, ending, pauseAt, pauseMs } = plan;
  if (answer.request.socket.destroyed) {
    return;
  }
  if (at >= written) {
    ending.end(answer, pieces[at] ?? '');
    return;
  }
  answer.write(pieces[at] ?? '');
  const delayMs = pieceIntervalMs + (at === pauseAt ? pauseMs : 0);
  setTimeout(() => {
    writePieces(answer, plan, at + 1);
  }, delayMs);
};

const getRequestId = ({ headers }: ReceivedRequest): string =>
  headers.get('x-request-id') ?? '';

/** Lists the events after the last one that the caller has. */
const listEvents = (request: ReceivedRequest): string[] => {
  const after = Number(request.headers.get('last-event-id') ?? 0);
  const length = Math.max(0, parseSteps(request) - after);
  return Array.from({ length }, (_, at) =>
    formatSoakEvent(
      getRequestId(request),
      after + at + 1,
      request.signature ?? '',
    ),
  );
};

const listPieces = (request: ReceivedRequest): string[] =>
  Array.from(
    { length: plainPieces },
    (_, at) =>
      `${getRequestId(request)} by ${request.signature ?? ''}, piece ${String(at)}\n`,
  );
