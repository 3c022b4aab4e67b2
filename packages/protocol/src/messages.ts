/**
 * Messages between processes as plain typed values.
 *
 * Decisions and charts depend only on these types; the protobuf encoding is in
 * `codec.ts`. `peer.proto` documents the meaning and unit of each field.
 */
import type { ServiceKind, ValueOf } from './values.js';

export const MessageKind = {
  Hello: 'hello',
  Ping: 'ping',
  Pong: 'pong',
  Offer: 'offer',
  Cancel: 'cancel',
  Revoke: 'revoke',
  Accepted: 'accepted',
  Started: 'started',
  Refused: 'refused',
  Revoked: 'revoked',
  Cancelled: 'cancelled',
  Activations: 'activations',
  Token: 'token',
  Finished: 'finished',
  Failed: 'failed',
  Report: 'report',
  Resume: 'resume',
  ConfigNotice: 'configNotice',
  ConfigRequest: 'configRequest',
  ConfigHandover: 'configHandover',
  ConfigStep: 'configStep',
  Leave: 'leave',
} as const;
export type MessageKind = ValueOf<typeof MessageKind>;

/** Identifies one attempt of one request. */
export interface AttemptRef {
  readonly requestId: string;
  /** Counted from 1. */
  readonly attempt: number;
}

export interface Backend {
  readonly serverId: string;
  readonly kind: ServiceKind;
  readonly service: string;
  readonly layerFrom: number;
  readonly layerTo: number;
  readonly slots: number;
}

export interface Hello {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly backend?: Backend | undefined;
  readonly agentAddress?: string | undefined;
}

export interface Stage {
  readonly serverId: string;
  readonly agentAddress: string;
  readonly incarnation: string;
  readonly layerFrom: number;
  readonly layerTo: number;
}

export interface ModelWork {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly generated: readonly number[];
}

export interface PlainWork {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
}

export interface Offer extends AttemptRef {
  readonly epoch: number;
  readonly account: string;
  readonly rank: string;
  readonly urgency: number;
  readonly service: string;
  readonly timeLeftMs: number;
  readonly repeatable: boolean;
  readonly stages: readonly Stage[];
  readonly stageIndex: number;
  readonly rankFloor?: number | undefined;
  readonly accountWeight?: number | undefined;
  readonly cost?: number | undefined;
  readonly enginePriority?: number | undefined;
  readonly model?: ModelWork | undefined;
  readonly plain?: PlainWork | undefined;
}

export interface Refused extends AttemptRef {
  readonly kind: string;
  readonly reason: string;
  readonly retryAfterMs: number;
  readonly serverId: string;
}

export interface Activations extends AttemptRef {
  readonly epoch: number;
  readonly position: number;
  readonly count: number;
  readonly payload: Uint8Array;
}

export interface Token extends AttemptRef {
  readonly epoch: number;
  readonly position: number;
  readonly tokenId: number;
  readonly text: string;
  readonly isEnd: boolean;
  readonly index: number;
}

export interface Resume extends AttemptRef {
  readonly fromIndex: number;
}

export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

export interface Finished extends AttemptRef {
  readonly finishReason: string;
  readonly promptTokens: number;
  readonly generatedTokens: number;
  readonly plain?: PlainAnswer | undefined;
}

export interface Failed extends AttemptRef {
  readonly kind: string;
  readonly reason: string;
  readonly serverId: string;
}

export interface Report {
  readonly leaving: boolean;
  readonly running: number;
  readonly waiting: number;
  readonly queueDelayMs: number;
}

export interface ConfigPosition {
  readonly lineage: string;
  readonly through: number;
  readonly version: number;
}

export interface ConfigHandover {
  readonly state: string;
}

export interface ConfigStep extends ConfigPosition {
  readonly baseVersion: number;
  readonly throughHash: number;
  readonly changeId: string;
  readonly author: string;
  readonly edits: string;
}

/** Value type of each kind of message. */
export interface MessageValues {
  hello: Hello;
  ping: { readonly sequence: number };
  pong: { readonly sequence: number };
  offer: Offer;
  cancel: AttemptRef;
  revoke: AttemptRef;
  accepted: AttemptRef;
  started: AttemptRef;
  refused: Refused;
  revoked: AttemptRef;
  cancelled: AttemptRef;
  activations: Activations;
  token: Token;
  finished: Finished;
  failed: Failed;
  report: Report;
  resume: Resume;
  configNotice: ConfigPosition;
  configRequest: ConfigPosition;
  configHandover: ConfigHandover;
  configStep: ConfigStep;
  leave: { readonly incarnation: string };
}

/** A message of one kind. */
export type MessageOf<K extends MessageKind> = {
  [Each in K]: { readonly kind: Each; readonly value: MessageValues[Each] };
}[K];

/** A message of any kind. */
export type PeerMessage = MessageOf<MessageKind>;

/** Messages that are sent together, with a timestamp of the sender's hybrid logical clock. */
export interface PeerFrame {
  readonly stamp: number;
  readonly messages: readonly PeerMessage[];
}
