/** Tells whether a reset cut off a body that only the end of its connection delimits, and that Node takes for complete. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Disposable } from '@lycheetally/common';
import { isReset } from './connectionEnd.js';

export class BodyEndWatch implements Disposable {
  isCutOff = false;
  /** Node takes the socket from a message that has ended. */
  private readonly socket: Socket;

  constructor(private readonly message: IncomingMessage) {
    this.socket = message.socket;
    // Before the parser, which completes the message.
    this.socket.prependListener('end', this.handleEnd);
  }

  dispose(): void {
    this.socket.off('end', this.handleEnd);
  }

  private readonly handleEnd = (): void => {
    this.isCutOff = !this.message.complete && isReset(this.socket);
  };
}
