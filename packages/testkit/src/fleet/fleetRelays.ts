/** The fault-injecting relays in front of a fleet's agents and backend servers. */
import { TcpRelay } from '../faults/tcpRelay.js';

export class FleetRelays {
  private readonly relays = new Map<string, TcpRelay>();

  constructor(private readonly isEnabled: boolean) {}

  /**
   * Creates a relay in front of a process, or changes the target of the existing
   * one. Returns the address to connect to, which is the target itself if relays
   * are disabled.
   */
  async relayTo(name: string, target: string): Promise<string> {
    if (!this.isEnabled) {
      return target;
    }
    const existing = this.relays.get(name);
    if (existing) {
      existing.setTarget(target);
      return existing.listen();
    }
    const relay = new TcpRelay(target);
    this.relays.set(name, relay);
    return relay.listen();
  }

  /** Returns the relay in front of a process. Throws if there is none. */
  getRelay(name: string): TcpRelay {
    const relay = this.relays.get(name);
    if (!relay) {
      throw new Error(`There is no relay in front of ${name}`);
    }
    return relay;
  }

  listNames(): string[] {
    return [...this.relays.keys()];
  }

  dispose(): void {
    for (const relay of this.relays.values()) {
      relay.dispose();
    }
  }
}
