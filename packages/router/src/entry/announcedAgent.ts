/** Agents that connect to this entry on their own, for example because no VM list names them. */
import { IncomingChannel } from '../peers/incomingChannel.js';
import type { PeerChannel } from '../peers/peerChannel.js';
import { VmState, type VmRecord } from '../ports/platform.js';

/**
 * Returns a VM record with the address that the agent of an incoming channel
 * announced; `undefined` for every other channel.
 */
export const toAnnouncedVm = (channel: PeerChannel): VmRecord | undefined => {
  const hello = channel instanceof IncomingChannel ? channel.remote : undefined;
  if (!hello?.backend || !hello.agentAddress) {
    return undefined;
  }
  const { agentAddress, failureDomain } = hello;
  return { vmId: '', agentAddress, failureDomain, state: VmState.Live };
};
