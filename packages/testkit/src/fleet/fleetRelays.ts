/** The relays that stand before a fleet's agents and backend servers. */
import { TcpRelay } from '../faults/tcpRelay.js';

export class FleetRelays {
  private readonly relays = new Map<string, TcpRelay>();

  constructor(private readonly isOn: boolean) {}

  /**
   * Puts a relay before a process, or sends the one that stands there to
   * another address. Returns the address to connect to.
   */
  async relayTo(name: string, target: string): Promise<string> {
    if (!this.isOn) {
      return target;
    }
    const known = this.relays.get(name);
    if (known) {
      known.setTarget(target);
      return known.listen();
    }
    const relay = new TcpRelay(target);
    this.relays.set(name, relay);
    return relay.listen();
  }

  /** Returns the relay before a process. Throws when there is none. */
  getRelay(name: string): TcpRelay {
    const relay = this.relays.get(name);
    if (!relay) {
      throw new Error(`No relay stands before ${name}`);
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
