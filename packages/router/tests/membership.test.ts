/**
 * Guards against routing work to an agent that is leaving, which could come about
 * when an outdated VM list, a reconnect or a lost message makes it look live again.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ErrorKind } from '@lycheetally/common';
import { FullMesh, RendezvousSubset } from '@lycheetally/decisions';
import {
  MessageKind,
  type Hello,
  type PeerMessage,
} from '@lycheetally/protocol';
import {
  DepartedIncarnations,
  EventLog,
  EventLoop,
  ManualClock,
  MemberDirectory,
  VmState,
  bindMemberChart,
  type MemberChannel,
  type VmRecord,
} from '../src/index.js';

const agentAddress = '127.0.0.1:1';
const service = 'stock-lookup';

class FakeChannel implements MemberChannel {
  isOpen = true;
  remote: Hello | undefined;
  readonly sent: PeerMessage[] = [];

  send(message: PeerMessage): void {
    this.sent.push(message);
  }

  stop(): void {
    this.isOpen = false;
  }
}

const createHello = (incarnation: number): Hello => ({
  nodeId: 'agent',
  incarnation: `agent.${String(incarnation)}`,
  failureDomain: 'zona-modena',
  backend: {
    serverId: 'server',
    kind: 'plain',
    service,
    layerFrom: 0,
    layerTo: 0,
    slots: 1,
  },
});

const createVm = (state: VmState, vmId = 'vm'): VmRecord => ({
  vmId,
  agentAddress,
  failureDomain: 'zona-modena',
  state,
});

class Harness {
  channel = new FakeChannel();
  incarnation = 1;
  /** Incarnations of the agent that the entry was told are leaving. */
  readonly knownLeaving = new Set<number>();
  private readonly channels: FakeChannel[] = [];
  readonly directory = new MemberDirectory<FakeChannel>({
    entryId: 'entry',
    machine: bindMemberChart().unwrap(),
    services: {
      timers: new EventLoop(new ManualClock()),
      events: new EventLog('entry'),
      departedIncarnations: new DepartedIncarnations(100),
    },
    subset: new FullMesh(),
    openChannel: () => {
      this.channel = new FakeChannel();
      this.channels.push(this.channel);
      return this.channel;
    },
  });

  applyList(vms: readonly VmRecord[]): void {
    this.directory.applyVmList(vms, 0);
    const isKnown = this.channel.remote !== undefined;
    if (isKnown && vms.some(vm => vm.state === VmState.Leaving)) {
      this.knownLeaving.add(this.incarnation);
    }
  }

  sendHello(): void {
    this.channel.remote = createHello(this.incarnation);
    this.directory.handleOpen(this.channel, 0);
  }

  receive(message: PeerMessage): void {
    this.directory.receiveMessage(this.channel, message, 0);
    if (this.channel.remote) {
      this.knownLeaving.add(this.incarnation);
    }
  }

  isOffered(): boolean {
    return this.directory
      .listServers(service)
      .some(server => server.isConnected && !server.isLeaving);
  }
}

const leavingReport: PeerMessage = {
  kind: MessageKind.Report,
  value: { leaving: true, running: 0, waiting: 0, queueDelayMs: 0 },
};

const leavingRefusal: PeerMessage = {
  kind: MessageKind.Refused,
  value: {
    requestId: 'r',
    attempt: 1,
    kind: ErrorKind.ShuttingDown,
    reason: '',
    retryAfterMs: 0,
    serverId: 'server',
  },
};

const steps: Readonly<Record<string, (harness: Harness) => void>> = {
  listedLive: harness => {
    harness.applyList([createVm(VmState.Live)]);
  },
  listedLeaving: harness => {
    harness.applyList([createVm(VmState.Leaving)]);
  },
  listedTwice: harness => {
    harness.applyList([createVm(VmState.Leaving), createVm(VmState.Live)]);
  },
  unlisted: harness => {
    harness.applyList([]);
  },
  hello: harness => {
    harness.sendHello();
  },
  leavingReport: harness => {
    harness.receive(leavingReport);
  },
  leavingRefusal: harness => {
    harness.receive(leavingRefusal);
  },
  connectionLost: harness => {
    harness.channel.isOpen = false;
  },
  connectionBack: harness => {
    harness.channel.isOpen = true;
    harness.sendHello();
  },
  restart: harness => {
    harness.channel.remote = undefined;
    harness.channel.isOpen = false;
    harness.incarnation += 1;
  },
};

describe('MemberDirectory', () => {
  it('offers no incarnation that is leaving, in any order of events', () => {
    const counts = { offered: 0, left: 0 };
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom(...Object.keys(steps)), { maxLength: 25 }),
        names => {
          const harness = new Harness();
          harness.applyList([createVm(VmState.Live)]);
          for (const name of names) {
            steps[name]?.(harness);
            const hasLeft = harness.knownLeaving.has(harness.incarnation);
            const isOffered = harness.isOffered();
            counts.offered += Number(isOffered);
            counts.left += Number(hasLeft);
            expect(isOffered && hasLeft).toBe(false);
          }
        },
      ),
      { seed: 63, numRuns: 1_500 },
    );
    expect(Math.min(counts.offered, counts.left)).toBeGreaterThan(500);
  });

  it('notifies an agent whose VM is listed as leaving', () => {
    const harness = new Harness();
    harness.applyList([createVm(VmState.Live)]);
    harness.sendHello();
    harness.applyList([createVm(VmState.Leaving)]);
    expect(harness.channel.sent).toEqual([
      { kind: MessageKind.Leave, value: { incarnation: 'agent.1' } },
    ]);
  });

  it('offers no incarnation that left after its VM is unlisted and listed again', () => {
    const harness = new Harness();
    harness.applyList([createVm(VmState.Live)]);
    harness.sendHello();
    harness.receive(leavingReport);
    harness.channel.isOpen = false;
    harness.applyList([]);
    harness.applyList([createVm(VmState.Live)]);
    harness.sendHello();
    expect(harness.isOffered()).toBe(false);
  });

  it('offers a later incarnation of an agent that left', () => {
    const harness = new Harness();
    harness.applyList([createVm(VmState.Live)]);
    harness.sendHello();
    harness.receive(leavingReport);
    expect(harness.isOffered()).toBe(false);
    harness.incarnation = 2;
    harness.sendHello();
    expect(harness.isOffered()).toBe(true);
  });

  it('keeps the channel of an agent that connected before its VM was listed', () => {
    const harness = new Harness();
    harness.directory.addAnnounced(createVm(VmState.Live, ''), 0);
    const { channel } = harness;
    harness.sendHello();
    harness.applyList([]);
    harness.applyList([createVm(VmState.Live)]);
    expect([harness.isOffered(), harness.channel]).toEqual([true, channel]);
  });
});

describe('RendezvousSubset', () => {
  const servers = Array.from({ length: 300 }, (_, index) => ({
    vmId: `vm-${String(index)}`,
    failureDomain: `domain-${String(index % 3)}`,
  }));
  const subset = new RendezvousSubset(60);

  it('chooses the given number of servers, equally from each failure domain', () => {
    const chosen = subset.chooseServers('entry-1', servers);
    const counts = [0, 1, 2].map(
      domain =>
        chosen.filter(each => each.failureDomain === `domain-${String(domain)}`)
          .length,
    );
    expect(counts).toEqual([20, 20, 20]);
  });

  it('adds at most one server when a chosen server is removed', () => {
    const before = new Set(subset.chooseServers('entry-1', servers));
    const removed = [...before][0];
    const after = subset.chooseServers(
      'entry-1',
      servers.filter(each => each !== removed),
    );
    const added = after.filter(each => !before.has(each));
    expect(added.length).toBeLessThanOrEqual(1);
  });

  it('covers every server across many entries', () => {
    const covered = new Set(
      Array.from({ length: 40 }, (_, index) =>
        subset.chooseServers(`entry-${String(index)}`, servers),
      ).flat(),
    );
    expect(covered.size).toBe(servers.length);
  });
});
