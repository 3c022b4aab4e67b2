/**
 * Tells the runs of servers apart that do not report when they were started, by
 * the order of what they were sent and how it ended, in a bounded table.
 */
import { dropOldest, type Milliseconds } from '@lycheetally/common';
import { maxRestartMs } from './suspectPlacement.js';

interface ServerRunState {
  readonly run: number;
  /** When the run ended; `undefined` while it is not known to have ended. */
  readonly endedAt: Milliseconds | undefined;
}

const firstRun: ServerRunState = { run: 1, endedAt: undefined };

export class ServerRuns {
  private readonly byServer = new Map<string, ServerRunState>();

  constructor(private readonly maxServers: number) {}

  /** Records that a server crashed with something that it was sent; returns the name of the crash, which others may share. */
  noteCrashed(
    serverId: string,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): string {
    const { run, endedAt } = this.findRun(serverId, sentAt);
    this.put(serverId, { run, endedAt: endedAt ?? now });
    return `${serverId}#${String(run)}`;
  }

  /** Records that a server could not be reached. */
  noteUnreachable(serverId: string, now: Milliseconds): void {
    const { run, endedAt } = this.byServer.get(serverId) ?? firstRun;
    this.put(serverId, { run, endedAt: endedAt ?? now });
  }

  /** Records that a server answered what it was sent. */
  noteAnswered(serverId: string, sentAt: Milliseconds): void {
    const known = this.byServer.get(serverId);
    if (known) {
      this.put(serverId, this.findRun(serverId, sentAt));
    }
  }

  /** Whether a server crashed or could not be reached, and may not be back. */
  isDown(serverId: string, now: Milliseconds): boolean {
    const endedAt = this.byServer.get(serverId)?.endedAt;
    return endedAt !== undefined && now - endedAt < maxRestartMs;
  }

  /** Returns the run that got what was sent: the known one, or the next if that had ended before. */
  private findRun(serverId: string, sentAt: Milliseconds): ServerRunState {
    const known = this.byServer.get(serverId) ?? firstRun;
    return known.endedAt === undefined || sentAt <= known.endedAt
      ? known
      : { run: known.run + 1, endedAt: undefined };
  }

  private put(serverId: string, state: ServerRunState): void {
    this.byServer.delete(serverId);
    this.byServer.set(serverId, state);
    dropOldest(this.byServer, this.maxServers);
  }
}
