/**
 * What one server sends to one attempt: its head, its body or events, and how it ended.
 *
 * A streamed answer is passed to the caller event by event, any other when it is whole. Its
 * head goes out with its first event, so that both come from the same run. The answer ends in
 * one place, which decides whether it is complete.
 */
import { ByteCollector, type Milliseconds } from '@lycheetally/common';
import { ConnectionEnd } from '@lycheetally/node';
import {
  createBackendFault,
  createErrorFault,
  createRefusalFault,
  isSuccess,
} from './attemptFaults.js';
import {
  BackendListener,
  type BackendExchange,
  type BackendFailure,
  type BackendHead,
  type BackendRequest,
} from '../backendPort.js';
import { claimAnswer, isAnswering } from '../calls/callHedge.js';
import { maxBufferedResponseBytes } from '../constants.js';
import type { EventStream } from './eventStream.js';
import type { GatewayAttempt } from './gatewayAttempt.js';

/** How the answer is passed to the caller. */
const ResponseMode = {
  /** Buffered until it is complete. */
  Buffered: 'held',
  /** Forwarded event by event. */
  Streamed: 'events',
} as const;

export interface AnswerFacts {
  /** How the answer was delimited; empty without a head. */
  readonly framing: string;
  readonly connection: ConnectionEnd;
  /** Id of the first event that this run added to the caller's stream; empty if it added none. */
  readonly firstEventOfRun: string;
  /** Id of the last such event. */
  readonly lastEventOfRun: string;
}

const describeFraming = ({ fields }: BackendHead): string =>
  fields.isFramed ? 'by its head' : 'by its connection';

export class AttemptAnswer extends BackendListener {
  head: BackendHead | undefined;
  /** What the server sends of a streamed answer, from the last event that the caller had at the start. */
  events: EventStream | undefined;
  /** Whether the server has sent all of it; the loop has yet to handle that, or it is checked for a moment whether the end counts. */
  hasEnded = false;
  private exchange: BackendExchange | undefined;
  private readonly buffered = new ByteCollector();
  private mode: string = ResponseMode.Buffered;
  private firstEventId: string | undefined;
  /** Whether this run added an event to the caller's stream. */
  private hasDelivered = false;

  constructor(private readonly attempt: GatewayAttempt) {
    super();
  }

  /** Whether the answer is forwarded event by event. */
  get isStreamed(): boolean {
    return this.mode === ResponseMode.Streamed;
  }

  /** Whether the server has closed the connection in order. */
  private get isClosedByServer(): boolean {
    return this.exchange?.connectionEnd === ConnectionEnd.Closed;
  }

  /** Whether this run should have added events and added none. There may be none left if another run ended in order at the same event. */
  private get isMissingEvents(): boolean {
    const { endedAfter } = this.attempt.call;
    return (
      !this.hasDelivered &&
      (endedAfter === undefined || endedAfter !== this.events?.lastEventId)
    );
  }

  /** Sends the request. */
  open(request: BackendRequest): void {
    const { call } = this.attempt;
    this.events = call.events?.createNext();
    this.exchange = call.services.backend.open(request, this);
  }

  close(): void {
    this.exchange?.close();
  }

  /** Reads from the server again after the caller's connection has drained. */
  resume(): void {
    this.exchange?.resume();
  }

  /** Ends an exchange that cannot complete the call. */
  fail(reason: string, isClosedByServer = false): void {
    this.exchange?.close();
    this.handleFailure({ reason, isClosedByServer });
  }

  /** Takes the answer for whole, unless another run answers the call. */
  finish(): void {
    const { attempt } = this;
    if (claimAnswer(attempt)) {
      attempt.send({ type: 'COMPLETE' });
    }
  }

  /** Returns the body of a buffered answer and forgets it. */
  takeBody(): Buffer {
    return this.buffered.take();
  }

  /** What tells, for a log line, how the answer was delimited and how far this run alone came. */
  describe(): AnswerFacts {
    const { head, exchange, firstEventId, events } = this;
    return {
      framing: head ? describeFraming(head) : '',
      connection: exchange?.connectionEnd ?? ConnectionEnd.Open,
      firstEventOfRun: firstEventId ?? '',
      lastEventOfRun:
        firstEventId === undefined ? '' : (events?.lastEventId ?? ''),
    };
  }

  override handleConnected(): void {
    this.attempt.noteConnected();
  }

  override handleHead(head: BackendHead): void {
    const { attempt } = this;
    const { call, chosen } = attempt;
    const now = call.services.getMoment().monotonic;
    attempt.silence.noteActivity(now);
    const { fields, status } = head;
    if (fields.serverLoad !== undefined) {
      chosen.first.noteLoad(fields.serverLoad, now);
    }
    if (fields.isLeaving && !fields.isMisdirected) {
      attempt.noteLeaving();
    }
    if (fields.requestId !== call.requestId) {
      this.fail('the answer names another call');
      return;
    }
    this.head = head;
    if (!fields.isMisdirected) {
      attempt.noteIntake(fields);
    }
    if (isSuccess(status) && !fields.isAuthentic) {
      this.fail('the answer is not signed by its server');
    } else if (isSuccess(status) && attempt.admitted.route.isStream) {
      this.mode = ResponseMode.Streamed;
      call.hasBegunStream = true;
    }
  }

  override handleBody(chunk: Buffer): void {
    const { call, silence } = this.attempt;
    const now = call.services.getMoment().monotonic;
    if (this.isStreamed) {
      this.forwardEvents(chunk, now);
      return;
    }
    silence.noteActivity(now);
    this.keepBytes(chunk);
  }

  override handleEnd(): void {
    const { attempt, head } = this;
    this.hasEnded = true;
    // A whole answer must not give way to others before the loop has handled its end.
    attempt.call.services.bufferMemory.keep(attempt, this.buffered.memoryBytes);
    if (!head) {
      this.fail('the answer has no head');
    } else if (head.fields.isNotRun) {
      attempt.send({ type: 'NOT_RUN', fault: createRefusalFault(head) });
    } else if (!isSuccess(head.status)) {
      attempt.send({ type: 'ERROR', fault: createErrorFault(head) });
    } else {
      this.finishBody(head);
    }
  }

  override handleFailure(failure: BackendFailure): void {
    const { reason, isClosedByServer, isUnsendable = false } = failure;
    const fault = createBackendFault(reason);
    const type = isUnsendable ? 'UNSENDABLE' : 'BROKEN';
    this.attempt.send({ type, fault, isClosedByServer });
  }

  private finishBody({ fields }: BackendHead): void {
    const { attempt, isStreamed, events } = this;
    if (isStreamed && events?.isAtBoundary === false) {
      const reason = 'the stream ended inside an event';
      this.fail(reason, !fields.isFramed);
    } else if (isStreamed && !fields.isFramed && this.isMissingEvents) {
      this.fail('the stream ended before its next event', true);
    } else if (!fields.isFramed && this.isClosedByServer) {
      attempt.send({ type: 'ENDED' });
    } else {
      this.finish();
    }
  }

  private keepBytes(bytes: Buffer): void {
    this.buffered.append(bytes);
    if (this.buffered.length > maxBufferedResponseBytes) {
      this.failOverflow('the answer is larger than the gateway buffers');
      return;
    }
    this.reserveMemory();
  }

  /** Ends an exchange whose server sends more than any sound answer has. */
  private failOverflow(reason: string): void {
    this.exchange?.close();
    this.buffered.clear();
    const fault = createBackendFault(reason);
    this.attempt.send({ type: 'OVERFLOWED', fault });
  }

  /** Records the memory that this answer takes; the largest answers fail when all of them take too much. */
  private reserveMemory(): void {
    const { attempt, buffered, events } = this;
    const bytes = buffered.memoryBytes + (events?.bufferedBytes ?? 0);
    const { bufferMemory } = attempt.call.services;
    for (const { answer } of bufferMemory.reserve(attempt, bytes)) {
      answer.buffered.clear();
      answer.fail(
        'the responses that this gateway buffers take too much memory together',
      );
    }
  }

  /** Sends the head of this run to the caller, and the comments that came before its first event. */
  private startResponse(now: Milliseconds): boolean {
    const { attempt, head } = this;
    const { call, chosen } = attempt;
    if (!head) {
      return false;
    }
    const { status, statusText, fields } = head;
    const { caller } = call;
    const sent = caller.startResponse(status, statusText, fields.forwarded);
    if (sent.err) {
      this.fail(sent.val.message);
      return false;
    }
    call.hasStartedResponse = true;
    call.headFrom = chosen.first.record.serverId;
    call.firstByteAt = now;
    caller.setDrainListener(() => {
      (call.answeredBy ?? call.attempt)?.answer.resume();
    });
    const comments = this.takeBody();
    if (comments.length > 0) {
      caller.write(comments);
    }
    return true;
  }

  private forwardEvents(chunk: Buffer, now: Milliseconds): void {
    const { attempt, events } = this;
    const { call, silence } = attempt;
    silence.noteByte(now);
    const accepted = events?.accept(chunk, now);
    if (!events || !accepted) {
      return;
    }
    if (accepted.err) {
      this.failOverflow(accepted.val.message);
      return;
    }
    const { bytes, newEvents } = accepted.val;
    if (newEvents === 0 && !call.hasStartedResponse) {
      // Another run may still answer, with a head of its own.
      this.keepBytes(bytes);
      return;
    }
    this.reserveMemory();
    if (!(newEvents > 0 ? claimAnswer(attempt) : isAnswering(attempt))) {
      return;
    }
    if (!call.hasStartedResponse && !this.startResponse(now)) {
      return;
    }
    if (newEvents > 0) {
      call.events = events;
      this.hasDelivered = true;
      this.firstEventId ??= accepted.val.firstEventId;
      silence.noteEvent(now);
      attempt.progress.noteEvents(newEvents);
      attempt.pace.noteEvents(newEvents, now);
      call.place?.noteEvent(now);
      call.noteEventsSent(now);
    }
    if (bytes.length > 0 && !call.caller.write(bytes)) {
      attempt.pace.noteHeld();
      this.exchange?.pause();
      call.place?.notePaused();
    }
  }
}
