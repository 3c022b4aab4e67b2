/** One attempt to run a call on a backend server or a chain; context of the chart `gatewayAttempt`. */
import type { ChartInstance, ChartMachine } from '@lycheetally/charts';
import { ByteCollector, type Milliseconds } from '@lycheetally/common';
import type { BackendRecord } from '@lycheetally/decisions';
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
} from './backendPort.js';
import { chooseHedge, claimAnswer, isAnswering } from './callHedge.js';
import type { ChosenServers } from './chooseServers.js';
import type { EventStream } from './eventStream.js';
import { mayMove, mayRunElsewhere } from './repeatRules.js';
import { checkStall } from './stallCheck.js';
import { maxBufferedResponseBytes } from './constants.js';
import { AttemptBlame } from './attemptBlame.js';
import { AttemptProgress } from './attemptProgress.js';
import { AttemptRepair } from './attemptRepair.js';
import { AttemptServers } from './attemptServers.js';
import { AttemptSilence } from './attemptSilence.js';
import type { AdmittedCall, CallFault, GatewayCall } from './gatewayCall.js';

export interface AttemptEvent {
  readonly type:
    | 'CONNECTED'
    | 'NOT_RUN'
    | 'COMPLETE'
    | 'ERROR'
    | 'BROKEN'
    | 'UNSENDABLE'
    | 'OVERFLOWED'
    | 'CHECKED'
    | 'NO_REPORT'
    | 'REPAIRED'
    | 'REPAIR_FAILED'
    | 'SERVER_LOST'
    | 'SERVER_SILENT'
    | 'CANCEL';
  readonly fault?: CallFault | undefined;
  /** Whether the server closed the connection. */
  readonly isClosedByServer?: boolean | undefined;
  /** Id of a server of the chain that is lost or cannot run its part. */
  readonly lost?: string | undefined;
}

export type AttemptMachine = ChartMachine<GatewayAttempt, AttemptEvent>;

/** How the response of an attempt is passed to the caller. */
const ResponseMode = {
  /** Buffered until it is complete. */
  Buffered: 'held',
  /** Forwarded event by event. */
  Streamed: 'events',
} as const;

export class GatewayAttempt extends BackendListener {
  head: BackendHead | undefined;
  readonly instance: ChartInstance<GatewayAttempt, AttemptEvent>;
  private exchange: BackendExchange | undefined;
  private readonly buffered = new ByteCollector();
  private mode: string = ResponseMode.Buffered;
  private fault: CallFault | undefined;
  /** Whether the request may have been sent; known before the loop handles `CONNECTED`. */
  private hasConnection = false;
  /** The first server as the list had it when the attempt began. */
  private readonly record: BackendRecord;
  /** What the server sends of a streamed response, from the last event that the caller had at the start. */
  events: EventStream | undefined;
  readonly servers: AttemptServers;
  readonly repair = new AttemptRepair(this);
  readonly blame = new AttemptBlame(this);
  readonly progress: AttemptProgress;
  readonly silence: AttemptSilence;

  constructor(
    readonly call: GatewayCall,
    readonly admitted: AdmittedCall,
    chosen: ChosenServers,
    private readonly startedAt: Milliseconds,
  ) {
    super();
    const { services } = call;
    this.silence = new AttemptSilence(this, startedAt);
    this.record = chosen.first.record;
    this.progress = new AttemptProgress(call, this.record, startedAt);
    this.servers = new AttemptServers(
      services.serverRegistry,
      admitted,
      chosen,
    );
    this.instance = services.attemptMachine.createInstance(
      this,
      services.timers,
    );
  }

  /** The servers that run the attempt now. */
  get chosen(): ChosenServers {
    return this.servers.chosen;
  }

  /** Returns the body of a buffered response and forgets it. */
  takeBody(): Buffer {
    return this.buffered.take();
  }

  /** Whether the response is forwarded event by event. */
  get isStreamed(): boolean {
    return this.mode === ResponseMode.Streamed;
  }

  /** Reads from the server again after the caller's connection has drained. */
  resume(): void {
    this.exchange?.resume();
  }

  override handleConnected(): void {
    this.hasConnection = true;
    this.send({ type: 'CONNECTED' });
  }

  override handleHead(head: BackendHead): void {
    this.silence.noteActivity(this.call.services.getMoment().monotonic);
    const { fields, status } = head;
    if (fields.serverLoad !== undefined) {
      this.chosen.first.noteLoad(fields.serverLoad);
    }
    if (fields.isLeaving && !fields.isMisdirected) {
      this.noteLeaving();
    }
    if (fields.requestId !== this.call.requestId) {
      this.failExchange('the answer names another call');
      return;
    }
    this.head = head;
    if (!fields.isMisdirected) {
      this.noteIntake(fields);
    }
    if (isSuccess(status) && !fields.isAuthentic) {
      this.failExchange('the answer is not signed by its server');
    } else if (isSuccess(status) && this.admitted.route.isStream) {
      this.beginStream(head);
    }
  }

  override handleBody(chunk: Buffer): void {
    const now = this.call.services.getMoment().monotonic;
    if (this.isStreamed) {
      this.forwardEvents(chunk, now);
      return;
    }
    this.silence.noteActivity(now);
    this.buffered.append(chunk);
    if (this.buffered.length > maxBufferedResponseBytes) {
      this.failOverflow('the answer is larger than the gateway buffers');
      return;
    }
    this.reserveMemory(this.buffered.memoryBytes);
  }

  override handleEnd(): void {
    const { head } = this;
    // A whole answer must not give way to others before the loop has handled its end.
    this.call.services.bufferMemory.keep(this, this.buffered.memoryBytes);
    if (!head) {
      this.failExchange('the answer has no head');
    } else if (head.fields.isNotRun) {
      this.send({ type: 'NOT_RUN', fault: createRefusalFault(head) });
    } else if (!isSuccess(head.status)) {
      this.send({ type: 'ERROR', fault: createErrorFault(head) });
    } else {
      this.finishBody(head);
    }
  }

  override handleFailure(failure: BackendFailure): void {
    const { reason, isClosedByServer, isUnsendable = false } = failure;
    const fault = createBackendFault(reason);
    const type = isUnsendable ? 'UNSENDABLE' : 'BROKEN';
    this.send({ type, fault, isClosedByServer });
  }

  /** Actions, guards and delays of the chart. */
  readonly chartActions = {
    openExchange: (now: Milliseconds): void => {
      const { call, admitted, chosen } = this;
      const { record } = chosen.first;
      const remainingMs = Math.max(1, Math.round(admitted.deadlineAt - now));
      this.servers.updateLoad(1);
      chosen.first.intake.noteSent(now);
      const needsNewConnection = call.sentTo.has(record.address);
      call.sentTo.add(record.address);
      this.events = call.events?.createNext();
      const headers = call.services.format.writeRequest(
        call.received.fields,
        call.received.method,
        {
          serverId: record.serverId,
          remainingMs,
          account: admitted.holder?.account,
          urgency: admitted.urgency,
          chain: chosen.chain,
          lastEventId: call.events?.lastEventId,
          bodyBytes: call.received.body.length,
        },
      );
      this.exchange = call.services.backend.open(
        {
          address: record.address,
          method: call.received.method,
          target: call.received.target,
          headers,
          body: call.received.body,
          needsRecentConnection: !admitted.isRepeatable,
          needsNewConnection,
        },
        this,
      );
    },
    closeExchange: (): void => {
      this.exchange?.close();
    },
    releaseLoad: (): void => {
      this.servers.updateLoad(-1);
      this.call.services.bufferMemory.release(this);
    },
    noteConnectionRefused: (
      event: AttemptEvent | undefined,
      now: Milliseconds,
    ): void => {
      this.fault = event?.fault;
      this.chosen.first.noteRefusal(now);
    },
    noteUnreachable: (now: Milliseconds): void => {
      const { first } = this.chosen;
      this.fault = createBackendFault('the server cannot be reached');
      this.blame.reportUnreachable(first.record.address, 'no connection', now);
    },
    noteSilent: (now: Milliseconds): void => {
      const { first } = this.chosen;
      const reason = 'no connection in time';
      this.fault = createBackendFault('the server does not accept connections');
      this.call.services.lossHandler.noteSilent(first, reason, now);
    },
    handleFault: (event: AttemptEvent | undefined, now: Milliseconds): void => {
      this.fault = event?.fault ?? this.fault;
      const message = this.fault?.message ?? '';
      this.blame.reportFault(event?.type ?? 'BROKEN', message, now);
      if (event?.isClosedByServer) {
        this.progress.noteBroken(now);
      }
    },
    setError: (event: AttemptEvent | undefined): void => {
      this.fault = event?.fault;
    },
    noteMoved: (): void => {
      const { proofSince, stalledServer } = this.silence;
      this.call.movedSince = proofSince;
      if (stalledServer !== undefined) {
        this.call.avoided.add(stalledServer);
      }
    },
    requestHedge: (now: Milliseconds): void => {
      this.chartActions.noteMoved();
      this.call.instance?.send({ type: 'HEDGE' }, now);
    },
    requestReport: (): void => {
      checkStall(this);
    },
    restartStallCheck: (now: Milliseconds): void => {
      this.silence.noteChecked(now);
    },
    reportComplete: (now: Milliseconds): void => {
      this.chosen.first.noteSuccess(now);
      this.progress.noteComplete(now);
      this.call.instance?.send(
        { type: 'ATTEMPT_COMPLETE', attempt: this },
        now,
      );
    },
    reportNotRun: (now: Milliseconds): void => {
      this.report('ATTEMPT_NOT_RUN', now);
    },
    reportError: (now: Milliseconds): void => {
      this.call.runs += 1;
      this.report('ATTEMPT_ERROR', now);
    },
    reportBroken: (now: Milliseconds): void => {
      this.call.runs += 1;
      this.report('ATTEMPT_BROKEN', now);
    },
    noteRepaired: (now: Milliseconds): void => {
      this.repair.noteRepaired();
      this.silence.noteRepaired(now);
    },
    mayMove: (now: Milliseconds): boolean => {
      const { call, admitted, silence } = this;
      return (
        !call.hedge &&
        !silence.isPatient(now) &&
        mayMove(call, admitted, silence.proof, now)
      );
    },
    mayHedge: (now: Milliseconds): boolean =>
      this.chartActions.mayMove(now) && chooseHedge(this, now) !== undefined,
    /** Whether an attempt that found no replacement ends: its server is known to be gone, or another chain can take the call. */
    mayGiveUp: (now: Milliseconds): boolean =>
      (this.admitted.isRepeatable && this.repair.hasGoneServer) ||
      this.chartActions.mayMove(now),
    isConnected: (): boolean => this.hasConnection,
    isSilent: (now: Milliseconds): boolean =>
      (this.admitted.isRepeatable || this.chosen.chain.length > 0) &&
      this.silence.isCheckDue(now),
    computeStallCheckDelay: (now: Milliseconds): Milliseconds =>
      this.silence.computeCheckDelay(now),
  };

  private report(
    type: 'ATTEMPT_NOT_RUN' | 'ATTEMPT_ERROR' | 'ATTEMPT_BROKEN',
    now: Milliseconds,
  ): void {
    const { call, chosen, fault } = this;
    this.blame.keepFromFaultyServers();
    this.silence.noteEnd(now);
    call.services.metrics.countAttempt(type);
    call.services.log.info('An attempt did not complete its call.', {
      request: call.requestId,
      attempt: call.attempts,
      server: chosen.first.record.serverId,
      incarnation: chosen.first.record.incarnation,
      stages: chosen.chain.length,
      outcome: type,
      status: this.head?.status ?? 0,
      refusedBy: this.head?.fields.refusedBy ?? '',
      reason: fault?.message ?? '',
      afterMs: Math.round(now - this.startedAt),
      silentMs: Math.round(this.silence.measure(now)),
      lastEvent: call.events?.lastEventId ?? '',
      events: this.progress.events,
      retriesLeft: this.countRetries(now),
      ...(type === 'ATTEMPT_BROKEN' && !this.progress.isUnderWay
        ? {
            parts: call.received.fields.promptParts.join(','),
            suspect: call.identity.id,
          }
        : {}),
    });
    call.instance?.send({ type, fault, attempt: this }, now);
  }

  private countRetries(now: Milliseconds): number {
    const { name } = this.admitted.service;
    const left = this.call.services.retryPolicy.countRemaining(name, now);
    return Math.floor(left);
  }

  /** Sends an event to the chart through the event loop. */
  send(event: AttemptEvent): void {
    this.call.services.postCompletion(now => {
      this.instance.send(event, now);
    });
  }

  /** Ends an exchange that cannot complete the call. */
  failExchange(reason: string, isClosedByServer = false): void {
    this.exchange?.close();
    this.handleFailure({ reason, isClosedByServer });
  }

  /** Ends an attempt whose server answers other questions, if another server can take the call; one that was silent until now goes on. */
  endStalled(now: Milliseconds): void {
    if (this.silence.hasStalled(now) && this.chartActions.mayMove(now)) {
      this.failExchange('the server was silent for too long');
    } else {
      this.instance.send({ type: 'CHECKED' }, now);
    }
  }

  /** Ends an attempt whose plain server is gone, if the call may run elsewhere; attempts with a chain got the loss already. */
  endLost(now: Milliseconds): void {
    const { call, admitted, chosen } = this;
    if (
      chosen.chain.length === 0 &&
      (call.hedge || mayRunElsewhere(call, admitted, now))
    ) {
      this.failExchange('its server refuses connections');
    } else {
      this.instance.send({ type: 'CHECKED' }, now);
    }
  }

  private finishBody({ fields }: BackendHead): void {
    const { call } = this;
    const isStream = this.isStreamed;
    if (isStream && this.events?.isAtBoundary === false) {
      const reason = 'the stream ended inside an event';
      this.failExchange(reason, !fields.isFramed);
    } else if (isStream && !fields.isFramed && call.eventsReceived === 0) {
      this.failExchange('the stream ended before its first event', true);
    } else if (claimAnswer(this)) {
      this.send({ type: 'COMPLETE' });
    }
  }

  /** Ends an exchange whose server sends more than any sound answer has. */
  private failOverflow(reason: string): void {
    this.exchange?.close();
    this.buffered.clear();
    this.send({ type: 'OVERFLOWED', fault: createBackendFault(reason) });
  }

  /** Records the memory that this attempt takes; the largest attempts fail when all of them take too much. */
  private reserveMemory(bytes: number): void {
    const evicted = this.call.services.bufferMemory.reserve(this, bytes);
    for (const attempt of evicted) {
      attempt.buffered.clear();
      attempt.failExchange(
        'the responses that this gateway buffers take too much memory together',
      );
    }
  }

  private noteIntake({
    limitPerSecond,
    closedForMs,
  }: BackendHead['fields']): void {
    const { services } = this.call;
    const { intake } = this.chosen.first;
    services.postCompletion(now => {
      intake.noteAnswer({ limitPerSecond, sentAt: this.startedAt }, now);
      if (closedForMs !== undefined) {
        intake.noteTurnedAway(closedForMs, now);
      }
    });
  }

  /** Keeps later calls away from the server, whatever the server list says. */
  private noteLeaving(): void {
    const { services } = this.call;
    services.postCompletion(now => {
      services.serverRegistry.noteLeaving(this.record, now);
    });
  }

  private beginStream(head: BackendHead): void {
    const { call } = this;
    const { caller } = call;
    this.mode = ResponseMode.Streamed;
    if (!call.hasStartedResponse) {
      const { status, statusText, fields } = head;
      const sent = caller.startResponse(status, statusText, fields.forwarded);
      if (sent.err) {
        this.failExchange(sent.val.message);
        return;
      }
      call.hasStartedResponse = true;
      call.firstByteAt = call.lastActivityAt;
      caller.setDrainListener(() => {
        (call.answeredBy ?? call.attempt)?.resume();
      });
    }
  }

  private forwardEvents(chunk: Buffer, now: Milliseconds): void {
    const { call, events } = this;
    this.silence.noteByte(now);
    const accepted = events?.accept(chunk, now);
    if (!events || !accepted) {
      return;
    }
    if (accepted.err) {
      this.failOverflow(accepted.val.message);
      return;
    }
    this.reserveMemory(events.bufferedBytes);
    const { bytes, newEvents } = accepted.val;
    if (!(newEvents > 0 ? claimAnswer(this) : isAnswering(this))) {
      return;
    }
    if (newEvents > 0) {
      call.events = events;
      this.silence.noteEvent(now);
      this.progress.noteEvents(newEvents);
      call.noteEventsSent(now);
    }
    if (bytes.length > 0 && !call.caller.write(bytes)) {
      this.exchange?.pause();
    }
  }
}
