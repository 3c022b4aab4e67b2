/**
 * Leadership while the store turns some gateways away, as on the day on which it refused nine of 25
 * gateways from 2 to 11.5 s and nobody placed layers for 8 s: the store had carried out joins that it
 * did not answer, so the group kept the partition at a member that did not know it.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Err, Ok, type Milliseconds, type Result } from '@lycheetally/common';
import { ReplicaPerDomain } from '@lycheetally/decisions';
import { leaderLeaseMs } from '../src/constants.js';
import type { LayerPlacer } from '../src/placement/layerPlacer.js';
import { ContinuousOrders } from '../src/placement/orderRules.js';
import { LeaderElectionPort, ServerControlPort } from '../src/ports.js';
import {
  EmulatedElection,
  EmulatedGroup,
  StoreAccess,
} from './emulatedGroup.js';
import { ManualTimers } from './manualTimers.js';
import {
  advanceTo,
  createPlacer,
  unavailable,
  type FixtureServices,
} from './placerFixture.js';

const gateways = 25;
const stepMs = 5;
const refusedFrom = 4_000;
const refusedFor = 9_500;

/** The lease plus a second. */
const maxGapMs = leaderLeaseMs + 1_000;

/** No servers are known, so none is asked. */
class UnusedControl extends ServerControlPort {
  override placeLayers(): Promise<Result<never>> {
    return Promise.resolve(Err(unavailable));
  }

  override updateChain(): Promise<Result<never>> {
    return Promise.resolve(Err(unavailable));
  }

  override readReport(): Promise<Result<never>> {
    return Promise.resolve(Err(unavailable));
  }

  override readHealth(): Promise<Result<never>> {
    return Promise.resolve(Err(unavailable));
  }
}

interface Member {
  readonly placer: LayerPlacer;
  readonly election: EmulatedElection;
}

class EmulatedFleet {
  readonly timers = new ManualTimers();
  readonly members: Member[];
  /** The longest time without a leader since `resetGap`. */
  longestGapMs = 0;
  private ledAt = 0;
  private readonly group = new EmulatedGroup(this.timers);

  constructor(phases: readonly Milliseconds[]) {
    this.members = phases.map((phase, index) => {
      const id = `g-${String(index).padStart(2, '0')}`;
      const member = createMember(this.timers, this.group, id);
      this.timers.schedule(phase, now => {
        member.placer.start(now);
      });
      return member;
    });
  }

  resetGap(): void {
    this.longestGapMs = 0;
    this.ledAt = this.timers.now;
  }

  async run(durationMs: Milliseconds): Promise<void> {
    const end = this.timers.now + durationMs;
    while (this.timers.now < end) {
      this.timers.advance(stepMs);
      await new Promise(resolve => setImmediate(resolve));
      this.observe();
    }
  }

  dispose(): void {
    for (const { placer } of this.members) {
      placer.dispose();
    }
  }

  private observe(): void {
    const { now } = this.timers;
    const acting = this.members.filter(
      ({ placer }) => placer.isLeader && placer.chartActions.hasLease(now),
    );
    expect(acting.length).toBeLessThanOrEqual(1);
    if (acting.length > 0) {
      this.ledAt = now;
    }
    this.longestGapMs = Math.max(this.longestGapMs, now - this.ledAt);
  }
}

const createMember = (
  timers: ManualTimers,
  group: EmulatedGroup,
  id: string,
): Member => {
  const election = new EmulatedElection(group, id);
  const { placer } = createPlacer(timers, {
    ...memberServices,
    leaderElection: election,
  });
  return { placer, election };
};

const memberServices: Omit<FixtureServices, 'leaderElection'> = {
  control: new UnusedControl(),
  placement: new ReplicaPerDomain(),
  orderRules: new ContinuousOrders(),
  lossHandler: { checkServer: () => undefined },
  listServices: () => [],
};

/** Runs until the store turns the gateways away, while it does, and until all are back. */
const runRefusals = async (
  phases: readonly Milliseconds[],
  accesses: readonly StoreAccess[],
): Promise<EmulatedFleet> => {
  const fleet = new EmulatedFleet(phases);
  const setAccess = (getAccess: (index: number) => StoreAccess): void => {
    fleet.members.forEach(({ election }, index) => {
      election.access = getAccess(index);
    });
  };
  await fleet.run(refusedFrom);
  fleet.resetGap();
  setAccess(index => accesses[index] ?? StoreAccess.Open);
  await fleet.run(refusedFor);
  setAccess(() => StoreAccess.Open);
  await fleet.run(maxGapMs);
  fleet.dispose();
  return fleet;
};

const createPhases = (offset: Milliseconds): Milliseconds[] =>
  Array.from(
    { length: gateways },
    (_, index) => (offset + index * 370) % 1_000,
  );

const refusedGateways = 9;

/** Interval at which the store treats a gateway's calls in another way; shorter than that between two calls. */
const changeMs = 100;

describe('a store that turns away the leader and eight that would take over', () => {
  for (const access of [
    StoreAccess.Refused,
    StoreAccess.Unanswered,
    StoreAccess.Lost,
  ]) {
    it(`has another leader within the lease plus a second, with calls that are ${access}`, async () => {
      for (const offset of [0, 130, 555, 910]) {
        const fleet = await runRefusals(
          createPhases(offset),
          new Array<StoreAccess>(refusedGateways).fill(access),
        );
        expect(fleet.longestGapMs).toBeLessThanOrEqual(maxGapMs);
      }
    });
  }

  it('has no two leaders and soon another one, whatever becomes of each call', async () => {
    const access = fc.constantFrom(...Object.values(StoreAccess));
    await fc.assert(
      fc.asyncProperty(
        fc.array(access, { minLength: 1, maxLength: 24 }),
        fc.nat(999),
        async (accesses, offset) => {
          const fleet = await runRefusals(createPhases(offset), accesses);
          expect(fleet.longestGapMs).toBeLessThanOrEqual(maxGapMs);
        },
      ),
      { seed: 11, numRuns: 12 },
    );
  }, 60_000);
});

describe('a store that treats each call of nine gateways in another way', () => {
  it('has no two leaders and soon another one', async () => {
    const accesses = Object.values(StoreAccess).filter(
      access => access !== StoreAccess.Open,
    );
    await fc.assert(
      fc.asyncProperty(
        fc.infiniteStream(fc.constantFrom(...accesses)),
        fc.nat(999),
        async (stream, offset) => {
          const fleet = new EmulatedFleet(createPhases(offset));
          await fleet.run(refusedFrom);
          fleet.resetGap();
          for (let at = 0; at < refusedFor; at += changeMs) {
            for (const { election } of fleet.members.slice(
              0,
              refusedGateways,
            )) {
              const next = stream.next();
              election.access = next.done ? StoreAccess.Refused : next.value;
            }
            await fleet.run(changeMs);
          }
          fleet.dispose();
          expect(fleet.longestGapMs).toBeLessThanOrEqual(maxGapMs);
        },
      ),
      { seed: 12, numRuns: 30 },
    );
  }, 60_000);
});

describe('a store that is down for all gateways', () => {
  it('has a leader within the lease plus a second after it is back', async () => {
    for (const access of [StoreAccess.Refused, StoreAccess.Unanswered]) {
      const fleet = new EmulatedFleet(createPhases(130));
      await fleet.run(refusedFrom);
      for (const { election } of fleet.members) {
        election.access = access;
      }
      await fleet.run(refusedFor);
      for (const { election } of fleet.members) {
        election.access = StoreAccess.Open;
      }
      fleet.resetGap();
      await fleet.run(2 * maxGapMs);
      fleet.dispose();
      expect(fleet.longestGapMs).toBeLessThanOrEqual(maxGapMs);
    }
  });
});

/** A store that refuses joins, as while its group is overloaded, and answers leaves. */
class JoinlessElection extends LeaderElectionPort {
  calls = 0;

  override join(): Promise<Result<never>> {
    this.calls += 1;
    return Promise.resolve(Err(unavailable));
  }

  override leave(): Promise<Result<void>> {
    this.calls += 1;
    return Promise.resolve(Ok(undefined));
  }
}

describe('a store that refuses joins and answers leaves', () => {
  // Guards against leaves whose answers start the fast retries over and over.
  it('gets no more than two joins and a leave in an interval of renewals, after the first ones', async () => {
    const timers = new ManualTimers();
    const election = new JoinlessElection();
    const { placer } = createPlacer(timers, {
      ...memberServices,
      leaderElection: election,
    });
    placer.start(0);
    await advanceTo(timers, 2_000);
    const before = election.calls;
    await advanceTo(timers, 12_000);
    placer.dispose();
    expect(election.calls - before).toBeLessThanOrEqual(10 * 3);
  });
});

describe('a leader whose store answers', () => {
  it('costs each gateway no more than a call to the group a second', async () => {
    const fleet = new EmulatedFleet(createPhases(0));
    await fleet.run(20_000);
    fleet.dispose();
    for (const { election } of fleet.members) {
      expect(election.calls).toBeLessThanOrEqual(20);
    }
  });
});
