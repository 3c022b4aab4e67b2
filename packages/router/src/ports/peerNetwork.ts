/** The network between the system's own processes. */
import type { Address, Result } from '@lycheetally/common';
import type { PeerFrame } from '@lycheetally/protocol';

/** One side of an open stream of frames. */
export abstract class PeerStream {
  /** Sends a frame; frames after the close are dropped. */
  abstract send(frame: PeerFrame): void;
  /** Closes the stream and its connection. */
  abstract close(): void;
}

/** Receives the frames and the end of a stream. Called from outside the event loop. */
export interface PeerStreamListener {
  receiveFrame(frame: PeerFrame): void;
  /** The stream has ended; called once. */
  handleClose(reason: string): void;
}

/** Opens and accepts streams. */
export abstract class PeerNetwork {
  /** Opens a stream over a connection of its own. */
  abstract openStream(
    address: string,
    listener: PeerStreamListener,
  ): PeerStream;

  /** Listens for streams; `accept` returns the listener of each. Fails with `BadAddress`. */
  abstract listen(
    address: Address,
    accept: (stream: PeerStream) => PeerStreamListener,
  ): Promise<Result<Address>>;

  /** Stops listening and closes every stream. */
  abstract dispose(): void;
}
