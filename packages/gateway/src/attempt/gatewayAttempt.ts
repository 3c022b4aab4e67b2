/** One attempt to run a call on a backend server or a chain; context of the chart `gatewayAttempt`. */
import type { ChartInstance, ChartMachine } from '@lycheetally/charts';
import type { Milliseconds } from '@lycheetally/common';
import type { BackendRecord } from '@lycheetally/decisions';
import { createBackendFault } from './attemptFaults.js';
import type { BackendHead } from '../backendPort.js';
import type { RawHeaders } from '../callFormat.js';
import { chooseHedge } from '../calls/callHedge.js';
import { noteBalanced, type ChosenServers } from '../calls/chooseServers.js';
import {
  findEndOfCall,
  mayMove,
  mayRunElsewhere,
} from '../calls/repeatRules.js';
import { checkStall } from './stallCheck.js';
import { AttemptAnswer } from './attemptAnswer.js';
import { AttemptBlame } from './attemptBlame.js';
import { EndCheck } from './endCheck.js';
import { AttemptPace } from './attemptPace.js';
import { AttemptProgress } from './attemptProgress.js';
import { AttemptRepair } from './attemptRepair.js';
import { AttemptServers } from './attemptServers.js';
import { AttemptSilence } from './attemptSilence.js';
import { AttemptTimes } from './attemptTimes.js';
import type {
  AdmittedCall,
  CallFault,
  GatewayCall,
} from '../calls/gatewayCall.js';

export interface AttemptEvent {
  readonly type:
    | 'CONNECTED'
    | 'NOT_RUN'
    | 'ENDED'
    | 'END_CONFIRMED'
    | 'END_CLOSED'
    | 'END_DOUBTED'
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

export class GatewayAttempt {
  readonly instance: ChartInstance<GatewayAttempt, AttemptEvent>;
  private fault: CallFault | undefined;
  /** Whether the request may have been sent; known before the loop handles `CONNECTED`. */
  private hasConnection = false;
  /** The first server as the list had it when the attempt began. */
  readonly record: BackendRecord;
  readonly answer = new AttemptAnswer(this);
  readonly endCheck = new EndCheck(this);
  readonly servers: AttemptServers;
  readonly repair = new AttemptRepair(this);
  readonly blame = new AttemptBlame(this);
  readonly pace = new AttemptPace(this);
  readonly progress: AttemptProgress;
  readonly silence: AttemptSilence;
  readonly times: AttemptTimes;

  constructor(
    readonly call: GatewayCall,
    readonly admitted: AdmittedCall,
    chosen: ChosenServers,
    private readonly startedAt: Milliseconds,
  ) {
    const { services } = call;
    this.silence = new AttemptSilence(this, startedAt);
    this.times = new AttemptTimes(call, startedAt);
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

  /** Records that the request may have been sent. */
  noteConnected(): void {
    this.hasConnection = true;
    this.times.noteConnected(this.call.services.getMoment().monotonic);
    this.send({ type: 'CONNECTED' });
  }

  /** Actions, guards and delays of the chart. */
  readonly chartActions = {
    openExchange: (now: Milliseconds): void => {
      const { call, admitted, chosen } = this;
      const { record } = chosen.first;
      this.servers.updateLoad(1);
      noteBalanced(call, admitted, chosen, now);
      chosen.first.intake.noteSent(now);
      const needsNewConnection = call.sentTo.has(record.address);
      call.sentTo.add(record.address);
      const headers = call.services.format.writeRequest(
        call.received.fields,
        call.received.method,
        {
          serverId: record.serverId,
          account: admitted.holder?.account,
          urgency: admitted.urgency,
          chain: chosen.chain,
          lastEventId: call.events?.lastEventId,
          bodyBytes: call.received.body.length,
        },
      );
      this.answer.open({
        address: record.address,
        method: call.received.method,
        target: call.received.target,
        headers,
        listTimedHeaders: () => this.listTimedHeaders(),
        body: call.received.body,
        needsRecentConnection: !admitted.isRepeatable,
        needsNewConnection,
      });
    },
    closeExchange: (): void => {
      this.answer.close();
    },
    releaseLoad: (): void => {
      this.servers.updateLoad(-1);
      this.call.services.balance.noteEnded();
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
        (silence.isAsLongAsLoss(now) || !silence.isShared(now)) &&
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

  /** Returns the time that is left now; nothing once the call is over. */
  private listTimedHeaders(): RawHeaders | undefined {
    const { call, admitted } = this;
    const { services } = call;
    const now = services.getMoment().monotonic;
    if (findEndOfCall(call, now)) {
      return undefined;
    }
    const remainingMs = Math.max(1, Math.round(admitted.deadlineAt - now));
    return services.format.writeRemainingTime(remainingMs);
  }

  private report(
    type: 'ATTEMPT_NOT_RUN' | 'ATTEMPT_ERROR' | 'ATTEMPT_BROKEN',
    now: Milliseconds,
  ): void {
    const { call, chosen, fault } = this;
    this.blame.keepFromFaultyServers();
    this.silence.noteEnd(now);
    call.services.metrics.countAttempt(type);
    if (type === 'ATTEMPT_NOT_RUN') {
      call.place?.noteFailure(now);
    } else if (type === 'ATTEMPT_BROKEN') {
      call.place?.noteServerLost();
    }
    call.services.log.info('An attempt did not complete its call.', {
      request: call.requestId,
      attempt: call.attempts,
      server: chosen.first.record.serverId,
      incarnation: chosen.first.record.incarnation,
      stages: chosen.chain.length,
      outcome: type,
      status: this.answer.head?.status ?? 0,
      refusedBy: this.answer.head?.fields.refusedBy ?? '',
      reason: fault?.message ?? '',
      afterMs: Math.round(now - this.startedAt),
      silentMs: Math.round(this.silence.measure(now)),
      lastEvent: call.events?.lastEventId ?? '',
      events: this.progress.events,
      ...this.times.describe(),
      ...this.answer.describe(),
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

  /** Ends an attempt whose server answers other questions, if another server can take the call; one that was silent until now goes on. */
  endStalled(now: Milliseconds): void {
    if (this.silence.hasStalled(now) && this.chartActions.mayMove(now)) {
      this.answer.fail('the server was silent for too long');
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
      this.answer.fail('its server refuses connections');
    } else {
      this.instance.send({ type: 'CHECKED' }, now);
    }
  }

  noteIntake({ limitPerSecond, closedForMs }: BackendHead['fields']): void {
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
  noteLeaving(): void {
    const { services } = this.call;
    services.postCompletion(now => {
      services.serverRegistry.noteLeaving(this.record, now);
    });
  }
}
