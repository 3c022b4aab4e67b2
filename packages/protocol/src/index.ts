/** Messages between processes, their encoding and the generated service definition. */
export * from './codec.js';
export { PeerService, type Frame } from './gen/lycheetally/v1/peer_pb.js';
export * from './messages.js';
