/** How far the answer to an attempt has come, and what that tells about the parts of the prompt. */
import type { Milliseconds } from '@lycheetally/common';
import type { GatewayCall } from './gatewayCall.js';
import { isAnswerUnderWay, toTracedCall } from './suspects/suspectCalls.js';
import type { BrokenServer } from './suspects/suspectTracker.js';

export class AttemptProgress {
  private readonly eventsBefore: number;

  constructor(private readonly call: GatewayCall) {
    this.eventsBefore = call.eventsReceived;
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
    services.suspects.noteServed(toTracedCall(this.call), now);
  }

  /** Records that the server closed the connection; an answer that another server had begun clears the prompt. */
  noteBroken(server: BrokenServer, now: Milliseconds): void {
    const { services } = this.call;
    const prompt = toTracedCall(this.call);
    const hardlyBegan = !this.isUnderWay && this.eventsBefore === 0;
    if (hardlyBegan && prompt.parts.length > 0) {
      services.metrics.countSuspectBreak(prompt.service);
      services.suspects.noteBroken(prompt, server, now);
    }
  }
}
