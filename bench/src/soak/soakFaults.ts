/** Faults that a soak injects from outside the gateways, each with a start and an end. */
import {
  Direction,
  StoreMood,
  waitFor,
  type SeededNumbers,
  type TcpRelay,
} from '@lycheetally/testkit';
import type { SoakWorld } from './soakWorld.js';

abstract class SoakFault {
  abstract readonly name: string;

  /** Injects the fault and removes it again after `forMs`. */
  abstract run(
    world: SoakWorld,
    numbers: SeededNumbers,
    forMs: number,
  ): Promise<void>;
}

class KilledGateway extends SoakFault {
  readonly name = 'kill a gateway';

  override async run(
    world: SoakWorld,
    numbers: SeededNumbers,
    forMs: number,
  ): Promise<void> {
    const gateway = numbers.pickOne(world.gateways);
    await gateway.restart('SIGKILL', forMs / 4);
  }
}

class StoppedGateway extends SoakFault {
  readonly name = 'stop a gateway and start it again';

  override async run(world: SoakWorld, numbers: SeededNumbers): Promise<void> {
    const gateway = numbers.pickOne(world.gateways);
    await gateway.restart('SIGTERM');
  }
}

class FrozenGateway extends SoakFault {
  readonly name = 'freeze a gateway';

  override async run(
    world: SoakWorld,
    numbers: SeededNumbers,
    forMs: number,
  ): Promise<void> {
    const gateway = numbers.pickOne(world.gateways);
    gateway.sendSignal('SIGSTOP');
    await waitFor(forMs);
    gateway.sendSignal('SIGCONT');
  }
}

class ReloadedGateway extends SoakFault {
  readonly name = 'reload a gateway';

  override run(world: SoakWorld, numbers: SeededNumbers): Promise<void> {
    numbers.pickOne(world.gateways).sendSignal('SIGHUP');
    return Promise.resolve();
  }
}

/** A fault on a link to the store or to a server. */
class SpoiledLink extends SoakFault {
  constructor(
    readonly name: string,
    private readonly begin: (link: TcpRelay) => void,
    private readonly end: (link: TcpRelay) => void,
  ) {
    super();
  }

  override async run(
    world: SoakWorld,
    numbers: SeededNumbers,
    forMs: number,
  ): Promise<void> {
    const link = numbers.pickOne([...world.storeLinks, ...world.serverLinks]);
    this.begin(link);
    await waitFor(forMs);
    this.end(link);
  }
}

class SpoiledStore extends SoakFault {
  constructor(private readonly mood: StoreMood) {
    super();
  }

  override get name(): string {
    return `the store is ${this.mood}`;
  }

  override async run(
    world: SoakWorld,
    _: SeededNumbers,
    forMs: number,
  ): Promise<void> {
    world.store.mood = this.mood;
    await waitFor(forMs);
    world.store.mood = StoreMood.Up;
  }
}

/** A change of the stored data, which may coincide with other faults. */
class StoreChange extends SoakFault {
  constructor(
    readonly name: string,
    private readonly change: (world: SoakWorld, numbers: SeededNumbers) => void,
  ) {
    super();
  }

  override run(world: SoakWorld, numbers: SeededNumbers): Promise<void> {
    this.change(world, numbers);
    return Promise.resolve();
  }
}

const delayMs = 150;

const faults: readonly SoakFault[] = [
  new KilledGateway(),
  new StoppedGateway(),
  new FrozenGateway(),
  new ReloadedGateway(),
  new SpoiledLink(
    'cut a link',
    link => {
      link.cutConnections();
    },
    () => undefined,
  ),
  new SpoiledLink(
    'delay a link',
    link => {
      link.setDelay(delayMs);
    },
    link => {
      link.setDelay(0);
    },
  ),
  new SpoiledLink(
    'silence a link one way',
    link => {
      link.silenceConnections(Direction.Backward);
    },
    () => undefined,
  ),
  new SpoiledLink(
    'close a link',
    link => {
      link.setClosed(true);
      link.cutConnections();
    },
    link => {
      link.setClosed(false);
    },
  ),
  new SpoiledStore(StoreMood.Busy),
  new SpoiledStore(StoreMood.Silent),
  new StoreChange('change the configuration', world => {
    world.publishConfiguration();
  }),
  new StoreChange('drop the history of the store', world => {
    world.dropHistory();
  }),
  new StoreChange('revoke a key', (world, numbers) => {
    const [, ...keys] = [...world.accounts.keys()];
    world.revokeKey(numbers.pickOne(keys));
  }),
];

/** Bounds of a fault's duration and of the pause before the next one. */
const shortestMs = 200;
const longestMs = 1_800;
const longestPauseMs = 900;

/** Injects faults for `durationMs`, some of them at the same time; returns their names in order. */
export const runSoakFaults = async (
  world: SoakWorld,
  numbers: SeededNumbers,
  durationMs: number,
): Promise<string[]> => {
  const endsAt = Date.now() + durationMs;
  const names: string[] = [];
  const running: Promise<void>[] = [];
  while (Date.now() < endsAt) {
    const fault = numbers.pickOne(faults);
    const forMs = shortestMs + numbers.takeBelow(longestMs - shortestMs);
    names.push(fault.name);
    running.push(fault.run(world, numbers, forMs));
    await waitFor(numbers.takeBelow(longestPauseMs));
  }
  await Promise.all(running);
  return names;
};
