/** The backend server that an agent forwards work to. */
import type { TypedError } from '@lycheetally/common';
import type { Offer, PlainAnswer } from '@lycheetally/protocol';

/** Activations of consecutive token positions, as one stage passes them to the next. */
export interface StageActivations {
  readonly position: number;
  readonly count: number;
  readonly payload: Uint8Array;
}

/** A token that the last stage generated. */
export interface StageToken {
  readonly position: number;
  readonly tokenId: number;
  readonly text: string;
  readonly isEnd: boolean;
}

/** Receives the results of a run. Called from outside the event loop. */
export interface BackendListener {
  receiveActivations(activations: StageActivations): void;
  receiveToken(token: StageToken): void;
  receiveAnswer(answer: PlainAnswer): void;
  /** The run has failed; called at most once, and nothing follows. */
  handleFailure(error: TypedError): void;
}

/** A piece of work that a backend server is running. */
export abstract class BackendRun {
  /** Passes in the activations that the preceding stage computed. */
  abstract pushActivations(activations: StageActivations): void;
  /** Asks the first stage to compute the next position from a token. */
  abstract pushToken(token: StageToken): void;
  /** Ends the run normally. */
  abstract end(): void;
  /** Stops the run at the backend server. */
  abstract cancel(): void;
}

/** Starts work on a backend server. */
export abstract class BackendPort {
  abstract startRun(offer: Offer, listener: BackendListener): BackendRun;
  abstract dispose(): void;
}
