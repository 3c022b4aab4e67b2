/** The other gateways to which records of suspects are sent. */
import type { ChartTimers } from '@lycheetally/charts';
import {
  formatAddress,
  type Address,
  type Milliseconds,
} from '@lycheetally/common';
import { SuspectPeer, type SuspectPeerMachine } from './suspectPeer.js';

export class SuspectPeers {
  private readonly peers = new Map<string, SuspectPeer>();

  constructor(
    private readonly machine: SuspectPeerMachine,
    private readonly timers: ChartTimers,
    /** Addresses of all other known gateways. */
    private readonly listAddresses: () => readonly Address[],
  ) {}

  /** Returns the gateways that are known now and may get a message, in random order. */
  listReachable(now: Milliseconds): SuspectPeer[] {
    this.update(now);
    const reachable = [...this.peers.values()].filter(peer => peer.isReachable);
    return sortRandomly(reachable);
  }

  /** Whether a gateway missed records. */
  get hasMissed(): boolean {
    return [...this.peers.values()].some(peer => peer.hasMissed);
  }

  /** Records that the gateways that cannot get a message now miss changes. */
  noteMissed(): void {
    for (const peer of this.peers.values()) {
      peer.hasMissed ||= !peer.isReachable;
    }
  }

  dispose(): void {
    for (const peer of this.peers.values()) {
      peer.dispose();
    }
    this.peers.clear();
  }

  private update(now: Milliseconds): void {
    const addresses = this.listAddresses();
    const known = new Set(addresses.map(formatAddress));
    for (const [key, peer] of this.peers) {
      if (!known.has(key)) {
        peer.dispose();
        this.peers.delete(key);
      }
    }
    for (const address of addresses) {
      const key = formatAddress(address);
      if (!this.peers.has(key)) {
        const peer = new SuspectPeer(this.machine, this.timers, address, now);
        this.peers.set(key, peer);
      }
    }
  }
}

const sortRandomly = <T>(items: readonly T[]): T[] =>
  items
    .map(item => ({ item, order: Math.random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ item }) => item);
