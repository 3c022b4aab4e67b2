/** Agents that opened a channel to this entry by themselves. */
import { IncomingChannel } from '../peers/incomingChannel.js';
import type { PeerChannel } from '../peers/peerChannel.js';
import { VmState, type VmRecord } from '../ports/platform.js';

/** Returns where the agent of an incoming channel says that it listens. */
export const toAnnounced = (channel: PeerChannel): VmRecord | undefined => {
  const hello = channel instanceof IncomingChannel ? channel.remote : undefined;
  if (!hello?.backend || !hello.agentAddress) {
    return undefined;
  }
  const { agentAddress, failureDomain } = hello;
  return { vmId: '', agentAddress, failureDomain, state: VmState.Live };
};
