/** Whether an agent offers its backend server for new work. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type { Milliseconds, Result } from '@lycheetally/common';
import type { EventLog } from '../eventLog.js';

interface MembershipEvent {
  readonly type: 'LEAVE';
}

export class AgentMembership {
  private readonly chart: ChartInstance<AgentMembership, MembershipEvent>;

  constructor(
    machine: AgentMembershipMachine,
    timers: ChartTimers,
    private readonly incarnation: string,
    private readonly events: EventLog,
    /** Reports to every entry that the agent is leaving. */
    readonly reportLeaving: () => void,
  ) {
    this.chart = machine.createInstance(this, timers);
  }

  get isLeaving(): boolean {
    return this.chart.matches('leaving');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  /** Handles an entry's notice that the VM is leaving; one for an earlier incarnation is dropped. */
  receiveLeave(incarnation: string, now: Milliseconds): void {
    if (incarnation === this.incarnation) {
      this.chart.send({ type: 'LEAVE' }, now);
    }
  }

  recordLeaving(now: Milliseconds): void {
    this.events.record('agent-leaving', now);
  }
}

export type AgentMembershipMachine = ChartMachine<
  AgentMembership,
  MembershipEvent
>;

/** Binds the chart `agentMembership`. Fails with `BadChart`. */
export const bindAgentMembershipChart = (): Result<AgentMembershipMachine> =>
  bindChart<AgentMembership, MembershipEvent>(ChartName.AgentMembership, {
    actions: {
      recordLeaving: (membership, _, now) => {
        membership.recordLeaving(now);
      },
      reportLeaving: membership => {
        membership.reportLeaving();
      },
    },
    guards: {},
    delays: {},
  });
