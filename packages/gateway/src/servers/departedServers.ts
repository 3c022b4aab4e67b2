/** Servers that left the list, since their entries may be written or read late, or come back with an older copy of the store. */
import { dropOldest } from '@lycheetally/common';
import {
  isCopiedEntry,
  type BackendRecord,
  type ServerEntry,
} from '@lycheetally/decisions';
import { maxDepartedServers } from '../constants.js';

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
    dropOldest(this.servers, maxDepartedServers);
  }

  /** Whether this incarnation of the server said that it leaves. */
  hasSaidLeaving({ serverId, incarnation }: BackendRecord): boolean {
    const departed = this.servers.get(serverId);
    return (
      departed?.hasSaidLeaving === true &&
      departed.entry.record.incarnation === incarnation
    );
  }

  /** Whether an entry of a complete list may be older than the server's departure. */
  isCopied(entry: ServerEntry): boolean {
    const departed = this.servers.get(entry.record.serverId);
    return departed !== undefined && isCopiedEntry(entry, departed.entry);
  }
}
