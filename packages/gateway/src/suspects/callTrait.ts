/**
 * What calls may have in common, and crash backend servers by: a part of their prompts, or
 * all of the call. A trait has an id that all gateways share and the policy that judges it,
 * and words the log lines and refusals about it.
 */
import { ErrorKind, type ValueOf } from '@lycheetally/common';
import type { BlamePolicy } from '@lycheetally/decisions';
import { maxTrackedCalls, maxTrackedSuspects } from '../constants.js';
import { parseOutline } from './callIdentity.js';

export const TraitKind = {
  PromptPart: 'part',
  WholeCall: 'call',
} as const;
export type TraitKind = ValueOf<typeof TraitKind>;

/** The policy that judges the traits of each kind. */
export type TraitPolicies = Readonly<Record<TraitKind, BlamePolicy>>;

/** Log lines about changes of belief. */
export interface TraitMessages {
  readonly suspected: string;
  readonly refused: string;
  readonly tried: string;
  readonly trialFailed: string;
  readonly acquitted: string;
  readonly cleared: string;
  readonly lifted: string;
}

export abstract class CallTrait {
  abstract readonly kind: TraitKind;
  /** Traits of this kind that are tracked at most for each service. */
  abstract readonly maxTracked: number;
  abstract readonly errorKind: ErrorKind;
  abstract readonly messages: TraitMessages;

  constructor(
    readonly id: string,
    readonly policy: BlamePolicy,
  ) {}

  /** Tells a caller why its call is not sent. */
  abstract describeRefusal(): string;

  /** Tells a caller why its call, whose server crashed, is not sent to another one. */
  abstract describeRefusedRepeat(): string;
}

/** A part of prompts, by the id that callers give it. */
export class PromptPart extends CallTrait {
  override readonly kind = TraitKind.PromptPart;
  override readonly maxTracked = maxTrackedSuspects;
  override readonly errorKind = ErrorKind.PromptPartRefused;
  override readonly messages: TraitMessages = {
    suspected: 'A part of prompts is suspected.',
    refused: 'Calls with a part of prompts are refused.',
    tried: 'A call tries a refused part of prompts.',
    trialFailed: 'A refused part of prompts crashed a server again.',
    acquitted:
      'Calls with a part of prompts are sent again, as most crashes were before an answer.',
    cleared: 'A part of prompts is cleared, since an answer was written.',
    lifted: 'A part of prompts is cleared by an operator.',
  };

  override describeRefusal(): string {
    return `backend servers crash when they begin to answer a prompt with the part ${this.id}; send the call without it`;
  }

  override describeRefusedRepeat(): string {
    return `the server crashed when it began to answer, and the part ${this.id} of the prompt may be the cause; the call was not sent to another server, send it without the part`;
  }
}

/** A request that comes again unchanged, by the digest of its content. */
export class WholeCall extends CallTrait {
  override readonly kind = TraitKind.WholeCall;
  override readonly maxTracked = maxTrackedCalls;
  override readonly errorKind = ErrorKind.CallRefused;
  override readonly messages: TraitMessages = {
    suspected: 'A call is suspected of crashing servers.',
    refused: 'A call is refused, since it crashes servers.',
    tried: 'A refused call is tried.',
    trialFailed: 'A refused call crashed a server again.',
    acquitted:
      'A refused call is sent again, as most crashes were before an answer.',
    cleared: 'A suspected call is cleared, since it was answered.',
    lifted: 'A suspected call is cleared by an operator.',
  };

  override describeRefusal(): string {
    return `backend servers crash when they run this request (${this.id}); change it, or ask an operator to lift the refusal when the servers can run it`;
  }

  override describeRefusedRepeat(): string {
    return `the server crashed while it ran this request, which may be the cause (${this.id}); it was not sent to another server, change it, or send it again later`;
  }
}

/** Creates the trait that an id names; ids of whole calls have a form of their own. */
export const createTrait = (id: string, policies: TraitPolicies): CallTrait =>
  parseOutline(id) === undefined
    ? new PromptPart(id, policies[TraitKind.PromptPart])
    : new WholeCall(id, policies[TraitKind.WholeCall]);
