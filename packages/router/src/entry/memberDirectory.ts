/** The backend servers that an entry knows, from the VM list and from their agents. */
import type { Milliseconds } from '@lycheetally/common';
import type { ServerView } from '@lycheetally/decisions';
import type { Backend, Hello, Report } from '@lycheetally/protocol';
import type { OutgoingChannel } from '../peers/outgoingChannel.js';
import type { PeerChannel } from '../peers/peerChannel.js';
import { VmState, type VmRecord } from '../ports/platform.js';

/** One backend server's agent. */
export interface Member {
  readonly address: string;
  readonly channel: OutgoingChannel;
  vm: VmRecord;
  hello: Hello | undefined;
  report: Report | undefined;
  outstanding: number;
}

export class MemberDirectory {
  private readonly byAddress = new Map<string, Member>();
  private readonly byServer = new Map<string, Member>();

  constructor(
    private readonly openChannel: (
      address: string,
      now: Milliseconds,
    ) => OutgoingChannel,
  ) {}

  /** Takes over a VM list: opens channels to new VMs and closes those of lost ones. */
  applyVmList(vms: readonly VmRecord[], now: Milliseconds): void {
    const listed = new Set(vms.map(vm => vm.agentAddress));
    for (const member of this.byAddress.values()) {
      if (!listed.has(member.address) && !member.channel.isOpen) {
        this.removeMember(member, now);
      }
    }
    for (const vm of vms) {
      this.applyVm(vm, now);
    }
  }

  noteOpen(channel: PeerChannel): Member | undefined {
    const member = this.findByChannel(channel);
    if (member && channel.remote?.backend) {
      member.hello = channel.remote;
      member.report = undefined;
      this.byServer.set(channel.remote.backend.serverId, member);
    }
    return member;
  }

  noteReport(channel: PeerChannel, report: Report): void {
    const member = this.findByChannel(channel);
    if (member) {
      member.report = report;
    }
  }

  findByServer(serverId: string): Member | undefined {
    return this.byServer.get(serverId);
  }

  findByChannel(channel: PeerChannel): Member | undefined {
    return [...this.byAddress.values()].find(
      member => member.channel === channel,
    );
  }

  listOpenChannels(): readonly OutgoingChannel[] {
    return this.listMembers()
      .map(member => member.channel)
      .filter(channel => channel.isOpen);
  }

  listMembers(): readonly Member[] {
    return [...this.byAddress.values()];
  }

  /** Lists the servers of a service for a routing decision. */
  listServers(service: string): readonly ServerView[] {
    return this.listMembers().flatMap(member => {
      const backend = member.hello?.backend;
      return backend?.service === service ? [viewServer(member, backend)] : [];
    });
  }

  private applyVm(vm: VmRecord, now: Milliseconds): void {
    const known = this.byAddress.get(vm.agentAddress);
    if (known) {
      known.vm = vm;
      return;
    }
    this.byAddress.set(vm.agentAddress, {
      address: vm.agentAddress,
      channel: this.openChannel(vm.agentAddress, now),
      vm,
      hello: undefined,
      report: undefined,
      outstanding: 0,
    });
  }

  private removeMember(member: Member, now: Milliseconds): void {
    member.channel.stop(now);
    this.byAddress.delete(member.address);
    const serverId = member.hello?.backend?.serverId;
    if (serverId !== undefined && this.byServer.get(serverId) === member) {
      this.byServer.delete(serverId);
    }
  }
}

const viewServer = (member: Member, backend: Backend): ServerView => ({
  serverId: backend.serverId,
  agentAddress: member.address,
  incarnation: member.hello?.incarnation ?? '',
  service: backend.service,
  kind: backend.kind,
  layerFrom: backend.layerFrom,
  layerTo: backend.layerTo,
  failureDomain: member.hello?.failureDomain ?? '',
  isConnected: member.channel.isOpen,
  isLeaving:
    member.vm.state === VmState.Leaving || member.report?.leaving === true,
  outstanding: member.outstanding,
});
