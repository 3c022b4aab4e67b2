/** One attempt to run a call on a backend server or a chain; context of the chart `gatewayAttempt`. */
import type { ChartInstance, ChartMachine } from '@lycheetally/charts';
import type { Milliseconds } from '@lycheetally/common';
import {
  describeBreak,
  describeError,
  describeRefusal,
  isSuccess,
} from './attemptFaults.js';
import {
  BackendListener,
  type BackendExchange,
  type BackendHead,
} from './backendPort.js';
import type { ChosenServers } from './chooseServers.js';
import type { Server } from './server.js';
import {
  maxHeldAnswerBytes,
  reportBoundMs,
  firstSilenceMs,
  maxSilenceMs,
  streamSilenceMs,
} from './constants.js';
import type { AdmittedCall, CallFault, GatewayCall } from './gatewayCall.js';

export interface AttemptEvent {
  readonly type:
    | 'CONNECTED'
    | 'NOT_RUN'
    | 'COMPLETE'
    | 'ERROR'
    | 'BROKEN'
    | 'REPORT_FINE'
    | 'REPORT_STALLED'
    | 'SERVER_LOST'
    | 'CANCEL';
  readonly fault?: CallFault | undefined;
}

export type AttemptMachine = ChartMachine<GatewayAttempt, AttemptEvent>;

/** How the response of an attempt is passed to the caller. */
const AnswerWay = {
  /** Buffered until it is complete. */
  Held: 'held',
  /** Forwarded event by event. */
  Events: 'events',
} as const;

export class GatewayAttempt extends BackendListener {
  head: BackendHead | undefined;
  readonly instance: ChartInstance<GatewayAttempt, AttemptEvent>;
  private exchange: BackendExchange | undefined;
  private readonly held: Buffer[] = [];
  private heldBytes = 0;
  private way: string = AnswerWay.Held;
  private heardAt: Milliseconds;
  private fault: CallFault | undefined;
  /** Number of checks that found the chain not stalled. */
  private silences = 0;
  private readonly layerTokens: ReadonlyMap<string, number>;

  constructor(
    readonly call: GatewayCall,
    readonly admitted: AdmittedCall,
    readonly chosen: ChosenServers,
    private readonly startedAt: Milliseconds,
  ) {
    super();
    const { services } = call;
    this.heardAt = startedAt;
    this.layerTokens = new Map(
      chosen.chain.map(({ server, range }) => [
        server.serverId,
        admitted.tokens * (range.to - range.from),
      ]),
    );
    this.instance = services.attempts.createInstance(this, services.timers);
  }

  /** Body of a buffered response. */
  get body(): Buffer {
    return Buffer.concat(this.held);
  }

  /** Adds the attempt's load to its servers, or subtracts it. */
  countLoad(sign: 1 | -1): void {
    const { book } = this.call.services;
    this.chosen.first.calls += sign;
    for (const [serverId, layerTokens] of this.layerTokens) {
      const server = book.find(serverId);
      if (server) {
        server.layerTokens = Math.max(
          0,
          server.layerTokens + sign * layerTokens,
        );
      }
    }
  }

  private get silenceMs(): Milliseconds {
    if (this.chosen.chain.length === 0) {
      return this.way === AnswerWay.Events
        ? maxSilenceMs
        : this.admitted.route.targetMs;
    }
    const first =
      this.way === AnswerWay.Events ? streamSilenceMs : firstSilenceMs;
    return Math.min(maxSilenceMs, first * 2 ** this.silences);
  }

  /** Reads from the server again after the caller's connection has drained. */
  resume(): void {
    this.exchange?.resume();
  }

  override handleConnected(): void {
    this.send({ type: 'CONNECTED' });
  }

  override handleHead(head: BackendHead): void {
    this.head = head;
    this.noteHeard();
    if (head.fields.serverLoad !== undefined) {
      this.chosen.first.noteLoad(head.fields.serverLoad);
    }
    const { fields, status } = head;
    if (fields.requestId !== this.call.requestId) {
      this.failExchange('the answer names another call');
    } else if (isSuccess(status) && !fields.isWhole) {
      this.failExchange('the answer is not signed by its server');
    } else if (isSuccess(status) && this.admitted.route.isStream) {
      this.beginStream(head);
    }
  }

  override handleBody(chunk: Buffer): void {
    this.noteHeard();
    if (this.way === AnswerWay.Events) {
      this.forwardEvents(chunk);
      return;
    }
    this.heldBytes += chunk.length;
    if (this.heldBytes > maxHeldAnswerBytes) {
      this.failExchange('the answer is larger than the gateway holds');
      return;
    }
    this.held.push(chunk);
  }

  override handleEnd(): void {
    const { head } = this;
    if (!head) {
      this.failExchange('the answer has no head');
    } else if (head.fields.isNotRun) {
      this.send({ type: 'NOT_RUN', fault: describeRefusal(head) });
    } else if (!isSuccess(head.status)) {
      this.send({ type: 'ERROR', fault: describeError(head) });
    } else if (
      this.way === AnswerWay.Events &&
      this.call.events?.isAtBoundary === false
    ) {
      this.failExchange('the stream ended inside an event');
    } else {
      this.send({ type: 'COMPLETE' });
    }
  }

  override handleFailure(reason: string): void {
    this.send({ type: 'BROKEN', fault: describeBreak(reason) });
  }

  /** Actions, guards and delays of the chart. */
  readonly chartActions = {
    openExchange: (now: Milliseconds): void => {
      const { call, admitted, chosen } = this;
      const { record } = chosen.first;
      const remainingMs = Math.max(1, Math.round(admitted.deadlineAt - now));
      this.countLoad(1);
      call.events?.restart();
      const headers = call.services.format.writeSend(
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
          needsSureConnection: !admitted.isRepeatable,
        },
        this,
      );
    },
    closeExchange: (): void => {
      this.exchange?.close();
    },
    releaseLoad: (): void => {
      this.countLoad(-1);
    },
    noteUnreachable: (now: Milliseconds): void => {
      const { first } = this.chosen;
      this.fault = describeBreak('the server cannot be reached');
      this.reportServer(first.record.address, 'no connection', now);
    },
    noteFault: (event: AttemptEvent | undefined, now: Milliseconds): void => {
      this.fault = event?.fault ?? this.fault;
      this.reportFault(event?.type ?? 'BROKEN', now);
    },
    noteStalled: (event: AttemptEvent | undefined): void => {
      this.fault = event?.fault;
    },
    requestReport: (): void => {
      this.requestReport();
    },
    allowSilence: (now: Milliseconds): void => {
      this.silences += 1;
      this.heardAt = now;
    },
    reportComplete: (now: Milliseconds): void => {
      this.chosen.first.noteSuccess(now);
      this.call.instance?.send({ type: 'ATTEMPT_COMPLETE' }, now);
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
    isSilent: (now: Milliseconds): boolean =>
      this.admitted.isRepeatable && now - this.heardAt >= this.silenceMs,
    computeSilence: (now: Milliseconds): Milliseconds =>
      Math.max(1, this.heardAt + this.silenceMs - now),
  };

  private report(
    type: 'ATTEMPT_NOT_RUN' | 'ATTEMPT_ERROR' | 'ATTEMPT_BROKEN',
    now: Milliseconds,
  ): void {
    const { call, chosen, fault } = this;
    if (this.head?.fields.refusedBy === undefined) {
      call.avoided.add(chosen.first.record.serverId);
    }
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
      lastEvent: call.events?.lastEventId ?? '',
    });
    call.instance?.send({ type, reason: fault }, now);
  }

  private send(event: AttemptEvent): void {
    this.call.services.postCompletion(now => {
      this.instance.send(event, now);
    });
  }

  private failExchange(reason: string): void {
    this.exchange?.close();
    this.handleFailure(reason);
  }

  private noteHeard(): void {
    this.heardAt = this.call.services.getMoment().steady;
    this.call.lastHeardAt = this.heardAt;
  }

  private beginStream(head: BackendHead): void {
    const { call } = this;
    this.way = AnswerWay.Events;
    if (!call.hasBegun) {
      call.hasBegun = true;
      call.firstByteAt = this.heardAt;
      call.caller.setDrainListener(() => {
        call.attempt?.resume();
      });
      call.caller.begin(head.status, head.statusText, head.fields.forwarded);
    }
  }

  private forwardEvents(chunk: Buffer): void {
    const { call } = this;
    const fresh = call.events?.accept(chunk);
    if (!fresh || fresh.length === 0) {
      return;
    }
    call.notePassed(this.heardAt);
    if (!call.caller.write(fresh)) {
      this.exchange?.pause();
    }
  }

  private reportFault(type: AttemptEvent['type'], now: Milliseconds): void {
    const { head, chosen, call } = this;
    const message = this.fault?.message ?? '';
    if (head?.fields.refusedBy !== undefined) {
      this.noteCrowded(head.fields.refusedBy, now);
    } else if (head?.fields.isOtherServer) {
      this.reportServer(chosen.first.record.address, message, now);
    } else if (type === 'ERROR') {
      chosen.first.noteError(message, now);
    } else if (type === 'BROKEN' && !call.services.isCutting()) {
      chosen.first.noteError(message, now);
    }
  }

  /**
   * Handles a refusal that names a server. The server is full, unloading layers
   * or gone; only in the last case do its running calls fail, so it is probed.
   */
  private noteCrowded(address: string, now: Milliseconds): void {
    const server = this.call.services.book.findByAddress(address);
    if (server) {
      this.call.avoided.add(server.record.serverId);
      server.noteCrowded(now);
      if (server !== this.chosen.first) {
        this.call.services.losses.checkServer(
          server,
          'a refusal named it',
          now,
        );
      }
    }
  }

  /** Whether nothing was received for the attempt in the given time. */
  isSilentFor(boundMs: Milliseconds, now: Milliseconds): boolean {
    return now - this.heardAt >= boundMs;
  }

  /** Whether the server is part of the attempt. */
  usesServer(server: Server): boolean {
    const { serverId } = server.record;
    return (
      this.chosen.first === server ||
      this.chosen.chain.some(stage => stage.server.serverId === serverId)
    );
  }

  /** Marks the server at the address as unreachable for this and later calls. */
  private reportServer(
    address: string,
    reason: string,
    now: Milliseconds,
  ): void {
    const server = this.call.services.book.findByAddress(address);
    if (server) {
      this.call.avoided.add(server.record.serverId);
      server.noteUnreachable(reason, now);
      this.call.services.losses.handleLost(server, now);
    }
  }

  /** Asks the first server of a chain which server stalls it; an attempt at a plain server fails at once. */
  private requestReport(): void {
    const { services, requestId } = this.call;
    if (this.chosen.chain.length === 0) {
      this.failExchange('the server was silent for too long');
      return;
    }
    const { address } = this.chosen.first.record;
    services.metrics.countProbe();
    void services.control.readReport(address, reportBoundMs).then(result => {
      services.postCompletion(now => {
        const culprit = result.err
          ? address
          : result.val.stalled.find(each => each.requestId === requestId)
              ?.address;
        if (culprit === undefined) {
          this.instance.send({ type: 'REPORT_FINE' }, now);
          return;
        }
        this.reportServer(culprit, 'a chain stalled there', now);
        const fault = describeBreak(`the chain stalled at ${culprit}`);
        this.instance.send({ type: 'REPORT_STALLED', fault }, now);
      });
    });
  }
}
