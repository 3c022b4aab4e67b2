/**
 * Finds out whether a server that closed a connection has crashed: it refuses new ones then,
 * and one that only dropped a response accepts them. No request is sent.
 */
import { connect } from 'node:net';
import { connectTimeoutMs } from '../constants.js';

/** Calls back if the server at the address accepts a connection. */
export const checkAccepts = (
  address: string,
  handleAccepted: () => void,
): void => {
  const separator = address.lastIndexOf(':');
  const socket = connect({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
    timeout: connectTimeoutMs,
  });
  socket.on('error', () => undefined);
  socket.on('timeout', () => {
    socket.destroy();
  });
  socket.on('connect', () => {
    socket.destroy();
    handleAccepted();
  });
};
