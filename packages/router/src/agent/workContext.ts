/** A piece of work at an agent: its context and the events of its chart. */
import type { ChartInstance } from '@lycheetally/charts';
import {
  ErrorKind,
  TypedError,
  type Milliseconds,
  type PartLogger,
} from '@lycheetally/common';
import type {
  AttemptRef,
  Offer,
  PeerMessage,
  PlainAnswer,
  Token,
} from '@lycheetally/protocol';
import type { EventLog } from '../eventLog.js';
import type { PeerChannel } from '../peers/peerChannel.js';
import type { BackendPort, BackendRun } from '../ports/backend.js';
import type { WatchInstance } from './backendWatch.js';
import type { EndedAttempt } from './endedAttempts.js';
import type { QueuedWork, SlotQueue } from '../ports/slotQueue.js';

/** Events of the chart `agentWork`. */
export type WorkEvent =
  | { readonly type: 'SLOT' | 'RESERVED' | 'BACKEND_DONE' }
  | { readonly type: 'CANCEL' | 'REVOKE' | 'OWNER_LOST' | 'OWNER_BACK' }
  | {
      readonly type: 'NEXT_REFUSED' | 'BACKEND_FAILED';
      readonly error: TypedError;
      /** The server that the failure began at. */
      readonly serverId: string;
    };

export type WorkInstance = ChartInstance<WorkContext, WorkEvent>;

/** What work needs of its agent. */
export interface WorkServices {
  readonly serverId: string;
  readonly events: EventLog;
  readonly log: PartLogger;
  readonly slots: SlotQueue;
  readonly backend: BackendPort;
  /** Sends a message to the node that owns the work; drops it when it is gone. */
  sendToOwner(nodeId: string, message: PeerMessage): void;
  /** Returns the channel to a later stage's agent. */
  getNextChannel(address: string, now: Milliseconds): PeerChannel;
  /** Says that the work's chart has reached a final state. */
  handleWorkEnded(
    work: WorkContext,
    ended: EndedAttempt,
    now: Milliseconds,
  ): void;
  /** Watches the engine of running work for silence. */
  startWatch(work: WorkContext, now: Milliseconds): WatchInstance;
  /** Posts into the loop that the work has a place. */
  postSlotGranted(work: WorkContext): void;
  /** Posts an event of the backend server into the loop. */
  postBackendEvent(work: WorkContext, event: BackendEvent): void;
}

/** What a backend run reports. */
export type BackendEvent =
  | {
      readonly kind: 'activations';
      readonly position: number;
      readonly count: number;
      readonly payload: Uint8Array;
    }
  | {
      readonly kind: 'token';
      readonly position: number;
      readonly tokenId: number;
      readonly text: string;
      readonly isEnd: boolean;
    }
  | { readonly kind: 'answer'; readonly answer: PlainAnswer }
  | { readonly kind: 'failure'; readonly error: TypedError };

export interface WorkContext {
  readonly services: WorkServices;
  readonly offer: Offer;
  /** The node that the work is done for: an entry or an earlier stage's agent. */
  readonly ownerId: string;
  readonly deadlineAt: Milliseconds;
  readonly ref: AttemptRef;
  instance: WorkInstance | undefined;
  queued: QueuedWork | undefined;
  /** Priority in the engines of the chain; 0 goes first. */
  enginePriority: number;
  run: BackendRun | undefined;
  watch: WatchInstance | undefined;
  /** Spans of positions that the engine was given, and those it has answered. */
  sentSpans: number;
  answeredSpans: number;
  next: PeerChannel | undefined;
  error: TypedError | undefined;
  failedServerId: string;
  promptTokens: number;
  generatedTokens: number;
  /** Tokens sent to an entry, which may ask for them again. */
  sentTokens: Token[];
  /** Position that the next token must have; 0 before the first one. */
  nextPosition: number;
  finishReason: string;
  answer: PlainAnswer | undefined;
}

/** Returns the key under which an agent keeps an attempt. */
export const formatAttemptKey = (ref: AttemptRef): string =>
  `${ref.requestId}/${String(ref.attempt)}`;

/** Creates the context of an offer. */
export const createWorkContext = (
  services: WorkServices,
  offer: Offer,
  ownerId: string,
  now: Milliseconds,
): WorkContext => ({
  services,
  offer,
  ownerId,
  deadlineAt: now + offer.timeLeftMs,
  ref: { requestId: offer.requestId, attempt: offer.attempt },
  instance: undefined,
  queued: undefined,
  enginePriority: offer.enginePriority ?? offer.urgency,
  run: undefined,
  watch: undefined,
  sentSpans: 0,
  answeredSpans: 0,
  next: undefined,
  error: undefined,
  failedServerId: services.serverId,
  promptTokens: 0,
  generatedTokens: 0,
  sentTokens: [],
  nextPosition: 0,
  finishReason: 'stop',
  answer: undefined,
});

/** Says whether a later stage follows this one. */
export const hasNextStage = (work: WorkContext): boolean =>
  work.offer.stageIndex + 1 < work.offer.stages.length;

/** The error of work that was stopped before it ran. */
export const createNotStartedError = (): TypedError =>
  new TypedError(
    ErrorKind.NoCapacity,
    'the work was stopped before it could start',
    'send the request again',
  );
