/** The other gateways that this one knows from their records in the store, and which of them answer. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import {
  sortByRendezvous,
  type Address,
  type ComponentLogger,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import type { RelayPolicy } from '@lycheetally/decisions';
import { relaySuspicionMs } from '../constants.js';

/** A gateway as it announces itself. */
export interface PeerRecord {
  readonly address: Address;
  readonly failureDomain: string;
}

/** A gateway to ask for news. */
export interface Relay {
  readonly id: string;
  readonly address: Address;
}

/** A gateway that relays for a failure domain. */
export interface DomainRelay extends Relay {
  readonly failureDomain: string;
}

interface TrustEvent {
  readonly type: 'FAILED';
}

export type TrustMachine = ChartMachine<PeerTrust, TrustEvent>;

/** Whether another gateway is asked; context of the chart `relayTrust`. */
export class PeerTrust {
  private readonly chart: ChartInstance<PeerTrust, TrustEvent>;
  private reason = '';

  constructor(
    machine: TrustMachine,
    timers: ChartTimers,
    private readonly id: string,
    private readonly log: ComponentLogger,
    now: Milliseconds,
  ) {
    this.chart = machine.createInstance(this, timers);
    this.chart.start(now);
  }

  get isSuspected(): boolean {
    return this.chart.matches('suspected');
  }

  noteFailure(reason: string, now: Milliseconds): void {
    this.reason = reason;
    this.chart.send({ type: 'FAILED' }, now);
  }

  noteSuspected(): void {
    const { id: gateway, reason } = this;
    this.log.info('A gateway is not asked for news for a while.', {
      gateway,
      reason,
      forMs: relaySuspicionMs,
    });
  }

  dispose(): void {
    this.chart.dispose();
  }
}

/** The own gateway, and how relays are chosen. */
export interface DirectoryOptions {
  readonly ownId: string;
  readonly failureDomain: string;
  readonly policy: RelayPolicy;
}

export class PeerDirectory {
  private readonly peers = new Map<string, PeerRecord>();
  private knownIds: readonly string[] | undefined;
  private readonly trust = new Map<string, PeerTrust>();

  constructor(
    private readonly machine: TrustMachine,
    private readonly timers: ChartTimers,
    private readonly log: ComponentLogger,
    private readonly options: DirectoryOptions,
  ) {}

  get size(): number {
    return this.peers.size;
  }

  find(id: string): PeerRecord | undefined {
    return this.peers.get(id);
  }

  /** Ids of the known gateways, the own one among them; the array is replaced when they change. */
  get ids(): readonly string[] {
    this.knownIds ??= [...new Set([this.options.ownId, ...this.peers.keys()])];
    return this.knownIds;
  }

  /** Addresses of all other gateways. */
  listOthers(): Address[] {
    return [...this.peers]
      .filter(([id]) => id !== this.options.ownId)
      .map(([, { address }]) => address);
  }

  /** Adds or replaces a gateway's record, or removes it. */
  set(id: string, record: PeerRecord | undefined): void {
    if (this.peers.has(id) !== (record !== undefined)) {
      this.knownIds = undefined;
    }
    if (record) {
      this.peers.set(id, record);
    } else {
      this.peers.delete(id);
      this.trust.get(id)?.dispose();
      this.trust.delete(id);
    }
  }

  /** Returns the gateway to ask for news, or `undefined` to read the store. */
  chooseRelay(): Relay | undefined {
    const { ownId, failureDomain, policy } = this.options;
    const gateways = [...this.peers]
      .filter(([, record]) => record.failureDomain === failureDomain)
      .map(([id]) => id);
    const suspected = new Set(
      gateways.filter(id => this.trust.get(id)?.isSuspected === true),
    );
    const id = policy.chooseRelay({
      ownId,
      failureDomain,
      gateways,
      suspected,
    });
    const record = id === undefined ? undefined : this.peers.get(id);
    return id !== undefined && record
      ? { id, address: record.address }
      : undefined;
  }

  /** Returns the gateway of each other failure domain that its members ask first. */
  listRelaysElsewhere(): readonly DomainRelay[] {
    const { failureDomain: ownDomain } = this.options;
    const byDomain = new Map<string, string[]>();
    for (const [id, { failureDomain }] of this.peers) {
      if (failureDomain !== ownDomain) {
        const ids = byDomain.get(failureDomain) ?? [];
        byDomain.set(failureDomain, [...ids, id]);
      }
    }
    return [...byDomain].flatMap(([failureDomain, ids]) => {
      const [id = ''] = sortByRendezvous(failureDomain, ids);
      const record = this.peers.get(id);
      return record ? [{ id, address: record.address, failureDomain }] : [];
    });
  }

  noteFailure(id: string, reason: string, now: Milliseconds): void {
    const known = this.trust.get(id);
    const trust =
      known ?? new PeerTrust(this.machine, this.timers, id, this.log, now);
    this.trust.set(id, trust);
    trust.noteFailure(reason, now);
  }
}

/** Binds the chart `relayTrust`. Fails with `BadChart`. */
export const bindTrustChart = (): Result<TrustMachine> =>
  bindChart<PeerTrust, TrustEvent>(ChartName.RelayTrust, {
    actions: {
      noteSuspected: trust => {
        trust.noteSuspected();
      },
    },
    guards: {},
    delays: { SUSPICION: () => relaySuspicionMs },
  });
