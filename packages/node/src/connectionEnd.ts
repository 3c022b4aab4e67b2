/**
 * How the connection of an exchange ended, as far as it tells whether an answer is whole.
 *
 * If the last bytes and a reset are read in one turn of the loop, Node reports the end of the
 * stream and no error. The socket has no peer any more then, so its address is asked for when
 * the end is reported; Node keeps the address once it was read, so nothing else may read it.
 */
import type { Socket } from 'node:net';
import type { Disposable, ValueOf } from '@lycheetally/common';

export const ConnectionEnd = {
  /** The other side still has it open, or this process closed it. */
  Open: 'open',
  /** The server closed it in order. */
  Closed: 'closed by the server',
  /** The server or its host reset it. */
  Reset: 'reset by the server',
} as const;
export type ConnectionEnd = ValueOf<typeof ConnectionEnd>;

/** Whether a socket was reset, asked when it reports its end. */
export const isReset = (socket: Socket): boolean =>
  socket.remoteAddress === undefined;

/** Codes of the errors with which Node reports that the other side closed a connection that was in use. */
const resetCodes: readonly unknown[] = ['ECONNRESET', 'EPIPE'];

/** Whether the other side closed a connection that was in use, by what was thrown. */
export const isResetError = (thrown: unknown): boolean =>
  thrown instanceof Error &&
  'code' in thrown &&
  resetCodes.includes(thrown.code);

/** Watches a connection for one exchange; connections are re-used. */
export class ConnectionEndWatch implements Disposable {
  end: ConnectionEnd = ConnectionEnd.Open;

  constructor(private readonly socket: Socket) {
    // Before the parser, which takes the end for that of an answer without a length.
    socket.prependListener('end', this.handleEnd);
    socket.prependListener('error', this.handleError);
  }

  dispose(): void {
    this.socket.off('end', this.handleEnd);
    this.socket.off('error', this.handleError);
  }

  private readonly handleEnd = (): void => {
    this.end = isReset(this.socket)
      ? ConnectionEnd.Reset
      : ConnectionEnd.Closed;
  };

  private readonly handleError = (error: Error): void => {
    if (isResetError(error)) {
      this.end = ConnectionEnd.Reset;
    }
  };
}
