/**
 * A consumer group of the store and its members, as seen through the port: a partition
 * moves when its holder joins with the newest generation, leaves, or has sent nothing for the ttl.
 */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import { leaderLeaseMs, storeTimeoutMs } from '../src/constants.js';
import { LeaderElectionPort, type LeaderGrant } from '../src/ports.js';
import type { ManualTimers } from './manualTimers.js';

/** How the store treats the calls of a member. */
export const StoreAccess = {
  Open: 'open',
  /** Not carried out, and said so at once. */
  Refused: 'refused',
  /** Carried out, but the answer is lost. */
  Unanswered: 'unanswered',
  /** Lost on the way there. */
  Lost: 'lost',
} as const;
export type StoreAccess = (typeof StoreAccess)[keyof typeof StoreAccess];

const oneWayMs = 5;

export class EmulatedGroup {
  private generation = 0;
  private holder: string | undefined;
  private readonly lastSeen = new Map<string, Milliseconds>();

  constructor(readonly timers: ManualTimers) {}

  join(id: string, generation: number): { generation: number; holds: boolean } {
    this.removeExpired();
    if (!this.lastSeen.has(id)) {
      this.generation += 1;
    }
    this.lastSeen.set(id, this.timers.now);
    if (this.holder === id && generation === this.generation) {
      this.holder = this.findAssignee();
    }
    this.holder ??= this.findAssignee();
    return { generation: this.generation, holds: this.holder === id };
  }

  leave(id: string): void {
    this.removeExpired();
    this.removeMember(id);
  }

  private removeExpired(): void {
    for (const [id, at] of [...this.lastSeen]) {
      if (this.timers.now - at >= leaderLeaseMs) {
        this.removeMember(id);
      }
    }
  }

  private removeMember(id: string): void {
    if (this.lastSeen.delete(id)) {
      this.generation += 1;
    }
    if (this.holder === id) {
      this.holder = this.findAssignee();
    }
  }

  private findAssignee(): string | undefined {
    return [...this.lastSeen.keys()].sort()[0];
  }
}

/** The group as one member sees it. */
export class EmulatedElection extends LeaderElectionPort {
  access: StoreAccess = StoreAccess.Open;
  calls = 0;
  private generation = 0;

  constructor(
    private readonly group: EmulatedGroup,
    private readonly id: string,
  ) {
    super();
  }

  override async join(): Promise<Result<LeaderGrant>> {
    const { generation } = this;
    const joined = await this.exchange(() =>
      this.group.join(this.id, generation),
    );
    return joined.map(answer => {
      this.generation = answer.generation;
      const { generation: fencingToken, holds: isLeader } = answer;
      return { isLeader, share: 1, fencingToken };
    });
  }

  override async leave(): Promise<Result<void>> {
    return this.exchange(() => {
      this.group.leave(this.id);
    });
  }

  private async exchange<T>(run: () => T): Promise<Result<T>> {
    this.calls += 1;
    const { access } = this;
    await this.wait(oneWayMs);
    if (access === StoreAccess.Refused) {
      await this.wait(oneWayMs);
      return Err(createRefusal());
    }
    if (access === StoreAccess.Lost) {
      await this.wait(storeTimeoutMs - oneWayMs);
      return Err(createRefusal());
    }
    const answer = run();
    if (access !== StoreAccess.Open) {
      await this.wait(storeTimeoutMs - oneWayMs);
      return Err(createRefusal());
    }
    await this.wait(oneWayMs);
    return Ok(answer);
  }

  private wait(delayMs: Milliseconds): Promise<void> {
    return new Promise(resolve => {
      this.group.timers.schedule(delayMs, () => {
        resolve();
      });
    });
  }
}

const createRefusal = (): TypedError =>
  new TypedError(ErrorKind.PlatformUnavailable, 'refused', 'wait');
