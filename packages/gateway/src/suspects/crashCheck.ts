/**
 * Finds out whether a server that closed a connection has crashed: it refuses new ones then,
 * or resets them, and one that only dropped a response keeps them open. No request is sent.
 */
import { connect } from 'node:net';
import { connectTimeoutMs, keptOpenMs } from '../constants.js';

/** Tells whether the server at the address accepts a connection and keeps it open. */
export const checkAccepts = (
  address: string,
  handleChecked: (isAccepting: boolean) => void,
): void => {
  const separator = address.lastIndexOf(':');
  const socket = connect({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
    timeout: connectTimeoutMs,
  });
  let isKeptOpen = false;
  socket.on('error', () => undefined);
  socket.on('connect', () => {
    socket.setTimeout(keptOpenMs);
  });
  socket.on('timeout', () => {
    const wasConnecting = socket.connecting;
    // A busy loop handles a timeout before what has arrived meanwhile.
    setImmediate(() => {
      if (socket.connecting === wasConnecting && !socket.destroyed) {
        isKeptOpen = !wasConnecting && !socket.readableEnded;
        socket.destroy();
      }
    });
  });
  socket.on('close', () => {
    handleChecked(isKeptOpen);
  });
  // Reads on, so that a close by the server is seen.
  socket.resume();
};
