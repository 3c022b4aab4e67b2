/** How far the answer to an attempt has come, and what that tells about the parts of the prompt. */
import type { Milliseconds } from '@lycheetally/common';
import type { GatewayCall } from './gatewayCall.js';
import { isAnswerUnderWay, toPromptCall } from './parts/promptCalls.js';
import type { BrokenServer } from './parts/promptPartTracker.js';

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
    services.promptParts.noteServed(toPromptCall(this.call), now);
  }

  /** Records that the server closed the connection; an answer that another server had begun clears the prompt. */
  noteBroken(server: BrokenServer, now: Milliseconds): void {
    const { services } = this.call;
    const prompt = toPromptCall(this.call);
    const hardlyBegan = !this.isUnderWay && this.eventsBefore === 0;
    if (hardlyBegan && prompt.parts.length > 0) {
      services.metrics.countPartBreak(prompt.service);
      services.promptParts.noteBroken(prompt, server, now);
    }
  }
}
