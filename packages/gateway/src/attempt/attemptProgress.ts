/** How far the answer to an attempt has come, and what that tells about what its call has in common with others. */
import type { Milliseconds } from '@lycheetally/common';
import type { BackendRecord } from '@lycheetally/decisions';
import { crashCheckDelayMs } from '../constants.js';
import type { GatewayCall } from '../calls/gatewayCall.js';
import { TraitKind } from '../suspects/callTrait.js';
import { AcceptResult } from '../suspects/acceptResult.js';
import { checkAccepts } from '../suspects/crashCheck.js';
import { isAnswerUnderWay, toTracedCall } from '../suspects/suspectCalls.js';
import type { AnsweredAttempt } from '../suspects/suspectTracker.js';

export class AttemptProgress {
  private readonly eventsBefore: number;
  private readonly address: string;
  private readonly attempt: AnsweredAttempt;

  constructor(
    private readonly call: GatewayCall,
    { serverId, incarnation, address }: BackendRecord,
    sentAt: Milliseconds,
  ) {
    this.eventsBefore = call.eventsReceived;
    this.address = address;
    this.attempt = { serverId, incarnation, sentAt };
  }

  /** Events that this attempt added to the answer. */
  get events(): number {
    return this.call.eventsReceived - this.eventsBefore;
  }

  /** Whether the server has sent more than the beginning of its answer. */
  get isUnderWay(): boolean {
    return isAnswerUnderWay(this.events);
  }

  noteEvents(count: number): void {
    const wasUnderWay = this.isUnderWay;
    this.call.eventsReceived += count;
    if (this.isUnderWay && !wasUnderWay) {
      this.call.services.postCompletion(now => {
        this.noteComplete(now);
      });
    }
  }

  /** Records that a server writes, or wrote, the answer. */
  noteComplete(now: Milliseconds): void {
    const { services } = this.call;
    services.suspects.noteServed(toTracedCall(this.call), now, this.attempt);
  }

  /** Records that the server closed the connection; an answer that another server had begun clears the call. */
  noteBroken(now: Milliseconds): void {
    if (this.isUnderWay || this.eventsBefore > 0) {
      return;
    }
    const { metrics, suspects } = this.call.services;
    const traced = toTracedCall(this.call);
    metrics.countSuspectBreak(traced.service, TraitKind.WholeCall);
    if (traced.parts.length > 0) {
      metrics.countSuspectBreak(traced.service, TraitKind.PromptPart);
    }
    suspects.noteBroken(traced, this.attempt, now);
    this.scheduleCheck(traced.service);
  }

  /** A server that crashed closes its connections before the listener, perhaps. */
  private scheduleCheck(service: string): void {
    const { services } = this.call;
    services.timers.schedule(crashCheckDelayMs, () => {
      checkAccepts(this.address, result => {
        if (result === AcceptResult.Open) {
          services.postCompletion(() => {
            services.suspects.noteAccepting(service, this.attempt);
          });
        }
      });
    });
  }
}
