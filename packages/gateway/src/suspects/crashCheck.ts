/**
 * Finds out whether a server that closed a connection has crashed: it refuses new ones then,
 * or resets them, and one that only dropped a response keeps them open. No request is sent. Used for
 * calls that may have crashed it, and for answers that only the end of their connection delimits.
 */
import { connect } from 'node:net';
import { connectTimeoutMs, keptOpenMs } from '../constants.js';
import { AcceptResult } from './acceptResult.js';

/** Tells whether the server at the address accepts a connection and keeps it open. */
export const checkAccepts = (
  address: string,
  handleChecked: (result: AcceptResult) => void,
): void => {
  const separator = address.lastIndexOf(':');
  const socket = connect({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
    timeout: connectTimeoutMs,
  });
  let result: AcceptResult = AcceptResult.Absent;
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') {
      result = AcceptResult.Closed;
    }
  });
  socket.on('connect', () => {
    result = AcceptResult.Closed;
    socket.setTimeout(keptOpenMs);
  });
  socket.on('timeout', () => {
    const wasConnecting = socket.connecting;
    // A busy loop handles a timeout before what has arrived meanwhile.
    setImmediate(() => {
      if (socket.connecting === wasConnecting && !socket.destroyed) {
        if (!wasConnecting && !socket.readableEnded) {
          result = AcceptResult.Open;
        }
        socket.destroy();
      }
    });
  });
  socket.on('close', () => {
    handleChecked(result);
  });
  // Reads on, so that a close by the server is seen.
  socket.resume();
};
