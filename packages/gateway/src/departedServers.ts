/** Servers that left the list, since their entries may be written or read late, or come back with an older copy of the store. */
import {
  isCopiedEntry,
  type BackendRecord,
  type ServerEntry,
} from '@lycheetally/decisions';
import { maxDepartedServers } from './constants.js';

interface DepartedServer {
  /** The last entry that was seen. */
  readonly entry: ServerEntry;
  readonly hasSaidLeaving: boolean;
}

export class DepartedServers {
  private readonly servers = new Map<string, DepartedServer>();

  keep(entry: ServerEntry, hasSaidLeaving: boolean): void {
    const { serverId } = entry.record;
    this.servers.delete(serverId);
    this.servers.set(serverId, { entry, hasSaidLeaving });
    const [oldest] = this.servers.keys();
    if (oldest !== undefined && this.servers.size > maxDepartedServers) {
      this.servers.delete(oldest);
    }
  }

  /** Whether this incarnation of the server said that it leaves. */
  hasSaidLeaving({ serverId, incarnation }: BackendRecord): boolean {
    const departed = this.servers.get(serverId);
    return (
      departed?.hasSaidLeaving === true &&
      departed.entry.record.incarnation === incarnation
    );
  }

  /** Whether an entry is older than the server's departure; one that is written after it counts. */
  refuse(entry: ServerEntry): boolean {
    const { record, position } = entry;
    const departed = this.servers.get(record.serverId);
    if (!departed || !isCopiedEntry(entry, departed.entry)) {
      return false;
    }
    const known = { record: departed.entry.record, position };
    this.keep(known, departed.hasSaidLeaving);
    return true;
  }
}
