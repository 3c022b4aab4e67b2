/** Context of one attempt at an agent, and the events of its state chart. */
import type { ChartInstance } from '@lycheetally/charts';
import {
  ErrorKind,
  TypedError,
  type Milliseconds,
  type ComponentLogger,
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
  | { readonly type: 'SLOT_GRANTED' | 'RESERVED' | 'BACKEND_DONE' }
  | {
      readonly type:
        'CANCEL' | 'REVOKE' | 'OWNER_DISCONNECTED' | 'OWNER_RECONNECTED';
    }
  | {
      readonly type: 'NEXT_STAGE_REFUSED' | 'BACKEND_FAILED';
      readonly error: TypedError;
      /** The server at which the failure occurred first. */
      readonly serverId: string;
    };

export type WorkInstance = ChartInstance<WorkContext, WorkEvent>;

/** Services that an agent provides to its work. */
export interface WorkServices {
  readonly serverId: string;
  readonly events: EventLog;
  readonly log: ComponentLogger;
  readonly slots: SlotQueue;
  readonly backend: BackendPort;
  /** Sends a message to the node that owns the work; drops it when the node is not connected. */
  sendToOwner(nodeId: string, message: PeerMessage): void;
  /** Returns the channel to a later stage's agent. */
  getNextStageChannel(address: string, now: Milliseconds): PeerChannel;
  /** Called when the chart of the work has reached a final state. */
  handleWorkEnded(
    work: WorkContext,
    ended: EndedAttempt,
    now: Milliseconds,
  ): void;
  /** Watches the engine of running work for silence. */
  startWatch(work: WorkContext, now: Milliseconds): WatchInstance;
  /** Posts to the event loop that the work was granted a slot. */
  postSlotGranted(work: WorkContext): void;
  /** Posts an event of the backend server to the event loop. */
  postBackendEvent(work: WorkContext, event: BackendEvent): void;
}

/** Reports of a backend run. */
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
  /** Id of the node that the work is done for: an entry, or the agent of the previous stage. */
  readonly ownerId: string;
  readonly deadlineAt: Milliseconds;
  readonly ref: AttemptRef;
  instance: WorkInstance | undefined;
  queueEntry: QueuedWork | undefined;
  /** Priority in the engines of the chain; 0 is served first. */
  enginePriority: number;
  run: BackendRun | undefined;
  watch: WatchInstance | undefined;
  /** Number of spans of positions that were sent to the engine, and how many it has answered. */
  sentSpans: number;
  answeredSpans: number;
  nextChannel: PeerChannel | undefined;
  error: TypedError | undefined;
  failedServerId: string;
  promptTokens: number;
  generatedTokens: number;
  /** Tokens of the first stage's work, kept because the entry may ask for them again. */
  keptTokens: Token[];
  /** Position that the next activations from the previous stage must have; 0 at first. */
  nextPosition: number;
  finishReason: string;
  answer: PlainAnswer | undefined;
}

/** Returns the key of an attempt in the maps of an agent. */
export const formatAttemptKey = (ref: AttemptRef): string =>
  `${ref.requestId}/${String(ref.attempt)}`;

/** Creates the context of the work in an offer. */
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
  queueEntry: undefined,
  enginePriority: offer.enginePriority ?? offer.urgency,
  run: undefined,
  watch: undefined,
  sentSpans: 0,
  answeredSpans: 0,
  nextChannel: undefined,
  error: undefined,
  failedServerId: services.serverId,
  promptTokens: 0,
  generatedTokens: 0,
  keptTokens: [],
  nextPosition: 0,
  finishReason: 'stop',
  answer: undefined,
});

/** Whether another stage follows this one. */
export const hasNextStage = (work: WorkContext): boolean =>
  work.offer.stageIndex + 1 < work.offer.stages.length;

/** Creates the error of work that was stopped before it ran. */
export const createNotStartedError = (): TypedError =>
  new TypedError(
    ErrorKind.NoCapacity,
    'the work was stopped before it could start',
    'send the request again',
  );
