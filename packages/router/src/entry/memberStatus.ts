/** Describes a backend server for the status of an entry. */
import type { Member } from '../membership/member.js';

export const describeMember = (member: Member): object => ({
  server: member.hello?.backend?.serverId ?? '',
  address: member.address,
  service: member.hello?.backend?.service ?? '',
  failureDomain: member.vm.failureDomain,
  connected: member.channel.isOpen,
  leaving: member.isLeaving,
  outstanding: member.outstanding,
});
