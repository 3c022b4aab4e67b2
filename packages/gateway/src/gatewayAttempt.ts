/** One attempt to run a call on a backend server or a chain; context of the chart `gatewayAttempt`. */
import type { ChartInstance, ChartMachine } from '@lycheetally/charts';
import type { Milliseconds } from '@lycheetally/common';
import {
  createBackendFault,
  createErrorFault,
  createRefusalFault,
  isSuccess,
} from './attemptFaults.js';
import {
  BackendListener,
  type BackendExchange,
  type BackendHead,
} from './backendPort.js';
import type { ChosenServers } from './chooseServers.js';
import { ConnectionUse } from './ports.js';
import type { Server } from './server.js';
import {
  maxBufferedResponseBytes,
  maxPartialEventMs,
  reportTimeoutMs,
  firstStallCheckMs,
  maxStallCheckMs,
  streamStallCheckMs,
} from './constants.js';
import { AttemptRepair } from './attemptRepair.js';
import type { AdmittedCall, CallFault, GatewayCall } from './gatewayCall.js';

export interface AttemptEvent {
  readonly type:
    | 'CONNECTED'
    | 'NOT_RUN'
    | 'COMPLETE'
    | 'ERROR'
    | 'BROKEN'
    | 'OVERFLOWED'
    | 'REPORT_NOT_STALLED'
    | 'REPORT_STALLED'
    | 'REPAIRED'
    | 'REPAIR_FAILED'
    | 'SERVER_LOST'
    | 'CANCEL';
  readonly fault?: CallFault | undefined;
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
  private readonly bufferedChunks: Buffer[] = [];
  private bufferedBytes = 0;
  private mode: string = ResponseMode.Buffered;
  private lastActivityAt: Milliseconds;
  private fault: CallFault | undefined;
  /** Whether the request may have been sent; known before the loop handles `CONNECTED`. */
  private hasConnection = false;
  /** Number of checks that found the chain not stalled. */
  private stallChecks = 0;
  private layerTokens: ReadonlyMap<string, number>;
  private servers: ChosenServers;
  readonly repair = new AttemptRepair(this);

  constructor(
    readonly call: GatewayCall,
    readonly admitted: AdmittedCall,
    chosen: ChosenServers,
    private readonly startedAt: Milliseconds,
  ) {
    super();
    const { services } = call;
    this.lastActivityAt = startedAt;
    this.servers = chosen;
    this.layerTokens = computeLayerTokens(chosen, admitted.tokens);
    this.instance = services.attemptMachine.createInstance(
      this,
      services.timers,
    );
  }

  /** The servers that run the attempt now. */
  get chosen(): ChosenServers {
    return this.servers;
  }

  /** Counts the attempt's load at the servers of a new chain, whose first server is the same. */
  replaceChain(chain: ChosenServers['chain']): void {
    this.updateLoad(-1);
    this.servers = { ...this.servers, chain };
    this.layerTokens = computeLayerTokens(this.servers, this.admitted.tokens);
    this.updateLoad(1);
  }

  /** Body of a buffered response. */
  get body(): Buffer {
    return Buffer.concat(this.bufferedChunks);
  }

  /** Adds the attempt's load to its servers, or subtracts it. */
  updateLoad(sign: 1 | -1): void {
    const { serverRegistry } = this.call.services;
    this.chosen.first.calls += sign;
    for (const [serverId, layerTokens] of this.layerTokens) {
      const server = serverRegistry.find(serverId);
      if (server) {
        server.layerTokens = Math.max(
          0,
          server.layerTokens + sign * layerTokens,
        );
      }
    }
  }

  private get stallCheckMs(): Milliseconds {
    if (this.chosen.chain.length === 0) {
      return this.mode === ResponseMode.Streamed
        ? maxStallCheckMs
        : this.admitted.route.targetMs;
    }
    const first =
      this.mode === ResponseMode.Streamed
        ? streamStallCheckMs
        : firstStallCheckMs;
    return Math.min(maxStallCheckMs, first * 2 ** this.stallChecks);
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
    this.head = head;
    this.noteActivity();
    if (head.fields.serverLoad !== undefined) {
      this.chosen.first.noteLoad(head.fields.serverLoad);
    }
    const { fields, status } = head;
    if (fields.requestId !== this.call.requestId) {
      this.failExchange('the answer names another call');
    } else if (isSuccess(status) && !fields.isAuthentic) {
      this.failExchange('the answer is not signed by its server');
    } else if (isSuccess(status) && this.admitted.route.isStream) {
      this.beginStream(head);
    }
  }

  override handleBody(chunk: Buffer): void {
    if (this.mode === ResponseMode.Streamed) {
      this.forwardEvents(chunk);
      return;
    }
    this.noteActivity();
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes > maxBufferedResponseBytes) {
      this.failOverflow('the answer is larger than the gateway buffers');
      return;
    }
    this.bufferedChunks.push(chunk);
    this.reserveMemory(this.bufferedBytes);
  }

  override handleEnd(): void {
    const { head } = this;
    if (!head) {
      this.failExchange('the answer has no head');
    } else if (head.fields.isNotRun) {
      this.send({ type: 'NOT_RUN', fault: createRefusalFault(head) });
    } else if (!isSuccess(head.status)) {
      this.send({ type: 'ERROR', fault: createErrorFault(head) });
    } else if (
      this.mode === ResponseMode.Streamed &&
      this.call.events?.isAtBoundary === false
    ) {
      this.failExchange('the stream ended inside an event');
    } else {
      this.send({ type: 'COMPLETE' });
    }
  }

  override handleFailure(reason: string): void {
    this.send({ type: 'BROKEN', fault: createBackendFault(reason) });
  }

  /** Actions, guards and delays of the chart. */
  readonly chartActions = {
    openExchange: (now: Milliseconds): void => {
      const { call, admitted, chosen } = this;
      const { record } = chosen.first;
      const remainingMs = Math.max(1, Math.round(admitted.deadlineAt - now));
      this.updateLoad(1);
      call.events?.restart();
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
        },
        this,
      );
    },
    closeExchange: (): void => {
      this.exchange?.close();
    },
    releaseLoad: (): void => {
      this.updateLoad(-1);
      this.call.services.responseMemory.release(this);
    },
    noteUnreachable: (now: Milliseconds): void => {
      const { first } = this.chosen;
      this.fault = createBackendFault('the server cannot be reached');
      this.reportUnreachable(first.record.address, 'no connection', now);
    },
    handleFault: (event: AttemptEvent | undefined, now: Milliseconds): void => {
      this.fault = event?.fault ?? this.fault;
      this.reportFault(event?.type ?? 'BROKEN', now);
    },
    setError: (event: AttemptEvent | undefined): void => {
      this.fault = event?.fault;
    },
    requestReport: (): void => {
      this.requestReport();
    },
    restartStallCheck: (now: Milliseconds): void => {
      this.stallChecks += 1;
      this.lastActivityAt = now;
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
    noteRepaired: (now: Milliseconds): void => {
      this.stallChecks = 0;
      this.lastActivityAt = now;
    },
    isConnected: (): boolean => this.hasConnection,
    isSilent: (now: Milliseconds): boolean =>
      (this.admitted.isRepeatable || this.chosen.chain.length > 0) &&
      now - this.lastActivityAt >= this.stallCheckMs,
    computeStallCheckDelay: (now: Milliseconds): Milliseconds =>
      Math.max(1, this.lastActivityAt + this.stallCheckMs - now),
  };

  private report(
    type: 'ATTEMPT_NOT_RUN' | 'ATTEMPT_ERROR' | 'ATTEMPT_BROKEN',
    now: Milliseconds,
  ): void {
    const { call, chosen, fault } = this;
    this.listFaultyServers().forEach(serverId => call.avoided.add(serverId));
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
      retriesLeft: this.countRetries(now),
    });
    call.instance?.send({ type, fault }, now);
  }

  /** Returns the ids of the servers at fault: those that the chain lost, or the first server unless it refused for another one. */
  private listFaultyServers(): readonly string[] {
    if (this.repair.lostServers.size > 0) {
      return [...this.repair.lostServers];
    }
    return this.head?.fields.refusedBy === undefined
      ? [this.chosen.first.record.serverId]
      : [];
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

  private failExchange(reason: string): void {
    this.exchange?.close();
    this.handleFailure(reason);
  }

  /** Ends an exchange whose server sends more than any sound answer has. */
  private failOverflow(reason: string): void {
    this.exchange?.close();
    this.bufferedChunks.length = 0;
    this.send({ type: 'OVERFLOWED', fault: createBackendFault(reason) });
  }

  /** Records the memory that this attempt takes; the largest attempts fail when all of them take too much. */
  private reserveMemory(bytes: number): void {
    const evicted = this.call.services.responseMemory.reserve(this, bytes);
    for (const attempt of evicted) {
      attempt.bufferedChunks.length = 0;
      attempt.failExchange(
        'the responses that this gateway buffers take too much memory together',
      );
    }
  }

  private noteActivity(): void {
    this.lastActivityAt = this.call.services.getMoment().monotonic;
    this.call.lastActivityAt = this.lastActivityAt;
  }

  private beginStream(head: BackendHead): void {
    const { call } = this;
    this.mode = ResponseMode.Streamed;
    if (!call.hasStartedResponse) {
      call.hasStartedResponse = true;
      call.firstByteAt = this.lastActivityAt;
      call.caller.setDrainListener(() => {
        call.attempt?.resume();
      });
      call.caller.startResponse(
        head.status,
        head.statusText,
        head.fields.forwarded,
      );
    }
  }

  private forwardEvents(chunk: Buffer): void {
    const { call } = this;
    const { events } = call;
    const now = call.services.getMoment().monotonic;
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
    if (newEvents > 0) {
      this.noteActivity();
      call.noteEventsSent(now);
    }
    if (bytes.length > 0 && !call.caller.write(bytes)) {
      this.exchange?.pause();
    }
  }

  private reportFault(type: AttemptEvent['type'], now: Milliseconds): void {
    const { head, chosen, call } = this;
    const message = this.fault?.message ?? '';
    if (head?.fields.refusedBy !== undefined) {
      this.noteRefusal(head.fields.refusedBy, now);
    } else if (head?.fields.isMisdirected) {
      this.reportUnreachable(chosen.first.record.address, message, now);
    } else if (type === 'OVERFLOWED') {
      chosen.first.noteOverflow(message, now);
    } else if (type === 'ERROR') {
      chosen.first.noteError(message, now);
    } else if (type === 'BROKEN' && !call.services.isCancellingCalls()) {
      chosen.first.noteError(message, now);
    }
  }

  /**
   * Handles a refusal that names a server. The server is full, unloading layers
   * or gone; only in the last case do its running calls fail, so it is probed.
   */
  private noteRefusal(address: string, now: Milliseconds): void {
    const server = this.call.services.serverRegistry.findByAddress(address);
    if (server) {
      this.call.avoided.add(server.record.serverId);
      server.noteRefusal(now);
      if (server !== this.chosen.first) {
        this.call.services.lossHandler.checkServer(
          server,
          'a refusal named it',
          now,
        );
      }
    }
  }

  /** Whether the server sends an event in pieces that are too far apart to be sound. */
  private hasOverdueEvent(now: Milliseconds): boolean {
    const since = this.call.events?.partialSince;
    return since !== undefined && now - since >= maxPartialEventMs;
  }

  /** Whether the attempt made no progress in the given time: no event of a stream, no byte of another answer. */
  isSilentFor(silenceMs: Milliseconds, now: Milliseconds): boolean {
    return now - this.lastActivityAt >= silenceMs;
  }

  /** Whether the server is part of the attempt. */
  usesServer(server: Server): boolean {
    const { serverId } = server.record;
    return (
      this.chosen.first === server ||
      this.chosen.chain.some(stage => stage.server.serverId === serverId)
    );
  }

  /** Returns the id of the chain's server at the address. */
  private findStageServer(address: string): string | undefined {
    return this.chosen.chain.find(({ server }) => server.address === address)
      ?.server.serverId;
  }

  /** Marks the server at the address as unreachable for this and later calls. */
  private reportUnreachable(
    address: string,
    reason: string,
    now: Milliseconds,
  ): void {
    const server = this.call.services.serverRegistry.findByAddress(address);
    if (server) {
      this.call.avoided.add(server.record.serverId);
      server.noteUnreachable(reason, now);
      this.call.services.lossHandler.handleLost(server, now);
    }
  }

  /** Asks the first server of a chain which server stalls it; an attempt at a plain server fails at once. */
  private requestReport(): void {
    const { services, requestId } = this.call;
    if (this.chosen.chain.length === 0) {
      this.failExchange('the server was silent for too long');
      return;
    }
    if (
      this.admitted.isRepeatable &&
      this.hasOverdueEvent(services.getMoment().monotonic)
    ) {
      this.failExchange('the server began an event and did not end it');
      return;
    }
    const { address } = this.chosen.first.record;
    services.metrics.countProbe();
    // A silent connection must not look like a stalled server.
    const report = services.control.readReport(
      address,
      reportTimeoutMs,
      ConnectionUse.New,
    );
    void report.then(result => {
      services.postCompletion(now => {
        const stalledAddress = result.err
          ? address
          : result.val.stalled.find(each => each.requestId === requestId)
              ?.address;
        if (stalledAddress === undefined) {
          this.instance.send({ type: 'REPORT_NOT_STALLED' }, now);
          return;
        }
        this.reportUnreachable(stalledAddress, 'a chain stalled there', now);
        const fault = createBackendFault(
          `the chain stalled at ${stalledAddress}`,
        );
        const lost = this.findStageServer(stalledAddress);
        this.instance.send({ type: 'REPORT_STALLED', fault, lost }, now);
      });
    });
  }
}

/** Returns the KV cache that each server of the chain needs for the call, in layer-tokens. */
const computeLayerTokens = (
  { chain }: ChosenServers,
  tokens: number,
): ReadonlyMap<string, number> =>
  new Map(
    chain.map(({ server, range }) => [
      server.serverId,
      tokens * (range.to - range.from),
    ]),
  );
