/**
 * One backend server as an entry sees it.
 *
 * Both the VM list and the agent's messages say whether the server is leaving;
 * the chart `member` combines them. An incarnation of an agent that is known to
 * leave never serves again, even if an outdated VM list shows its VM as live.
 */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type { Milliseconds, Result } from '@lycheetally/common';
import { MessageKind, type Hello, type Report } from '@lycheetally/protocol';
import type { EventLog } from '../eventLog.js';
import type { PeerChannel } from '../peers/peerChannel.js';
import { VmState, type VmRecord } from '../ports/platform.js';

export type MemberEvent =
  | { readonly type: 'HELLO'; readonly hello: Hello }
  | { readonly type: 'AGENT_LEAVING' | 'VM_LEAVING' | 'REMOVED' };

/** A channel that the directory opened. */
export type MemberChannel = Pick<
  PeerChannel,
  'isOpen' | 'remote' | 'send' | 'stop'
>;

/** Services that all members share. */
export interface MemberServices {
  readonly timers: ChartTimers;
  readonly events: EventLog;
  /** Incarnations of agents that are known to leave. */
  readonly departedIncarnations: DepartedIncarnations;
}

/** A bounded set of the latest incarnations of agents that left. */
export class DepartedIncarnations {
  private readonly incarnations = new Set<string>();

  constructor(private readonly capacity: number) {}

  add(incarnation: string): void {
    this.incarnations.add(incarnation);
    if (this.incarnations.size > this.capacity) {
      const [oldest] = this.incarnations;
      this.incarnations.delete(oldest ?? '');
    }
  }

  has(incarnation: string): boolean {
    return this.incarnations.has(incarnation);
  }
}

export class Member {
  hello: Hello | undefined;
  report: Report | undefined;
  outstanding = 0;
  private readonly chart: ChartInstance<Member, MemberEvent>;

  constructor(
    machine: MemberMachine,
    private readonly services: MemberServices,
    /** Address of the agent, as `host:port`. */
    readonly address: string,
    readonly channel: MemberChannel,
    public vm: VmRecord,
  ) {
    this.chart = machine.createInstance(this, services.timers);
  }

  get isLeaving(): boolean {
    return this.chart.matches('leaving') || this.chart.matches('removed');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  receive(event: MemberEvent, now: Milliseconds): void {
    this.chart.send(event, now);
  }

  /** Applies the VM's record of the VM list. */
  applyVm(vm: VmRecord, now: Milliseconds): void {
    this.vm = vm;
    if (vm.state === VmState.Leaving) {
      this.receive({ type: 'VM_LEAVING' }, now);
    }
  }

  applyHello(event: MemberEvent | undefined): void {
    if (event?.type === 'HELLO') {
      this.hello = event.hello;
      this.report = undefined;
      this.addDeparted();
    }
  }

  recordLeaving(now: Milliseconds): void {
    this.addDeparted();
    this.services.events.record('member-leaving', now, {
      detail: {
        address: this.address,
        server: this.hello?.backend?.serverId ?? '',
      },
    });
  }

  /** Tells the agent that it is leaving, so that it refuses work from entries that do not know yet. */
  sendLeave(): void {
    if (this.hello && this.channel.isOpen) {
      const { incarnation } = this.hello;
      this.channel.send({ kind: MessageKind.Leave, value: { incarnation } });
    }
  }

  /** Returns whether a hello comes from another incarnation that has not left, on a VM that is not leaving. */
  mayServeAgain(event: MemberEvent | undefined): boolean {
    return (
      event?.type === 'HELLO' &&
      this.hello !== undefined &&
      this.hello.incarnation !== event.hello.incarnation &&
      this.vm.state !== VmState.Leaving &&
      !this.services.departedIncarnations.has(event.hello.incarnation)
    );
  }

  hasLeft(event: MemberEvent | undefined): boolean {
    return (
      event?.type === 'HELLO' &&
      this.services.departedIncarnations.has(event.hello.incarnation)
    );
  }

  private addDeparted(): void {
    if (this.hello && this.isLeaving) {
      this.services.departedIncarnations.add(this.hello.incarnation);
    }
  }
}

export type MemberMachine = ChartMachine<Member, MemberEvent>;

/** Binds the chart `member`. Fails with `BadChart`. */
export const bindMemberChart = (): Result<MemberMachine> =>
  bindChart<Member, MemberEvent>(ChartName.Member, {
    actions: {
      applyHello: (member, event) => {
        member.applyHello(event);
      },
      recordLeaving: (member, _, now) => {
        member.recordLeaving(now);
      },
      sendLeave: member => {
        member.sendLeave();
      },
      closeChannel: (member, _, now) => {
        member.channel.stop(now);
      },
    },
    guards: {
      hasLeft: (member, event) => member.hasLeft(event),
      mayServeAgain: (member, event) => member.mayServeAgain(event),
    },
    delays: {},
  });
