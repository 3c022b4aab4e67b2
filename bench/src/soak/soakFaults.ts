/** Faults that a soak injects from outside the gateways, each with a start and an end. */
import {
  Direction,
  StoreMode,
  waitFor,
  type SeededRandom,
  type TcpRelay,
} from '@lycheetally/testkit';
import type { SoakHarness } from './soakHarness.js';

export abstract class SoakFault {
  abstract readonly name: string;

  /** Injects the fault and removes it again after `forMs`. */
  abstract run(
    harness: SoakHarness,
    random: SeededRandom,
    forMs: number,
  ): Promise<void>;
}

class KillGatewayFault extends SoakFault {
  readonly name = 'kill a gateway';

  override async run(
    harness: SoakHarness,
    random: SeededRandom,
    forMs: number,
  ): Promise<void> {
    const gateway = random.pickOne(harness.disturbed);
    await gateway.restart('SIGKILL', forMs / 4);
  }
}

export class RestartGatewayFault extends SoakFault {
  readonly name = 'stop a gateway and start it again';

  override async run(
    harness: SoakHarness,
    random: SeededRandom,
  ): Promise<void> {
    const gateway = random.pickOne(harness.disturbed);
    await gateway.restart('SIGTERM');
  }
}

/** Stops every gateway, one after the other, each before the one before it has ended. */
class RestartAllGatewaysFault extends SoakFault {
  readonly name = 'stop every gateway and start it again';

  override async run(
    harness: SoakHarness,
    _: SeededRandom,
    forMs: number,
  ): Promise<void> {
    const restarts: Promise<void>[] = [];
    for (const gateway of harness.gateways) {
      restarts.push(gateway.restart('SIGTERM'));
      await waitFor(forMs);
    }
    await Promise.all(restarts);
  }
}

class FreezeGatewayFault extends SoakFault {
  readonly name = 'freeze a gateway';

  override async run(
    harness: SoakHarness,
    random: SeededRandom,
    forMs: number,
  ): Promise<void> {
    const gateway = random.pickOne(harness.disturbed);
    gateway.sendSignal('SIGSTOP');
    await waitFor(forMs);
    gateway.sendSignal('SIGCONT');
  }
}

export class ReloadGatewayFault extends SoakFault {
  readonly name = 'reload a gateway';

  override run(harness: SoakHarness, random: SeededRandom): Promise<void> {
    random.pickOne(harness.gateways).sendSignal('SIGHUP');
    return Promise.resolve();
  }
}

/** A fault on a link to the store or to a server. */
class LinkFault extends SoakFault {
  constructor(
    readonly name: string,
    private readonly begin: (link: TcpRelay) => void,
    private readonly end: (link: TcpRelay) => void,
  ) {
    super();
  }

  override async run(
    harness: SoakHarness,
    random: SeededRandom,
    forMs: number,
  ): Promise<void> {
    const link = random.pickOne([
      ...harness.storeLinks,
      ...harness.serverLinks,
    ]);
    this.begin(link);
    await waitFor(forMs);
    this.end(link);
  }
}

class StoreFault extends SoakFault {
  constructor(private readonly mode: StoreMode) {
    super();
  }

  override get name(): string {
    return `the store is ${this.mode}`;
  }

  override async run(
    harness: SoakHarness,
    _: SeededRandom,
    forMs: number,
  ): Promise<void> {
    harness.store.mode = this.mode;
    await waitFor(forMs);
    harness.store.mode = StoreMode.Up;
  }
}

/** A change of the stored data, which may coincide with other faults. */
export class StoreChangeFault extends SoakFault {
  constructor(
    readonly name: string,
    private readonly change: (
      harness: SoakHarness,
      random: SeededRandom,
    ) => void,
  ) {
    super();
  }

  override run(harness: SoakHarness, random: SeededRandom): Promise<void> {
    this.change(harness, random);
    return Promise.resolve();
  }
}

/**
 * The store comes back from a copy that is as old as the fault is long. The operator
 * writes two versions before and two after, so that offsets that were read are given
 * out again for a version that revokes a key.
 */
class RestoreStoreFault extends SoakFault {
  readonly name = 'put the store back to an older copy';

  override async run(
    harness: SoakHarness,
    random: SeededRandom,
    forMs: number,
  ): Promise<void> {
    const copy = harness.store.takeCopy();
    harness.publishConfiguration();
    harness.publishConfiguration();
    await waitFor(forMs);
    harness.resetStore(copy);
    revokeAnyKey(harness, random);
  }
}

class ReplaceServerFault extends SoakFault {
  readonly name = 'replace a server, which lingers';

  override run(harness: SoakHarness, random: SeededRandom): Promise<void> {
    return harness.replaceServer(random);
  }
}

/** Some servers fall silent at the same time and go on where they were. */
class PauseServersFault extends SoakFault {
  readonly name = 'pause servers';

  override run(harness: SoakHarness, random: SeededRandom): Promise<void> {
    const count = 1 + random.pickInteger(harness.servers.length);
    const forMs = minPauseMs + random.pickInteger(maxPauseMs - minPauseMs);
    return harness.pauseServers(count, forMs, random);
  }
}

/** Revokes a key other than the first, which callers keep. */
const revokeAnyKey = (harness: SoakHarness, random: SeededRandom): void => {
  const [, ...keys] = [...harness.accounts.keys()];
  harness.revokeKey(random.pickOne(keys));
};

const linkDelayMs = 150;

class RestartAllAtOnceFault extends SoakFault {
  readonly name = 'stop all gateways at once and start them again';

  override async run({ gateways }: SoakHarness): Promise<void> {
    await Promise.all(gateways.map(gateway => gateway.restart('SIGTERM')));
  }
}

const faults: readonly SoakFault[] = [
  new KillGatewayFault(),
  new RestartGatewayFault(),
  new FreezeGatewayFault(),
  new ReloadGatewayFault(),
  new LinkFault(
    'cut a link',
    link => {
      link.cutConnections();
    },
    () => undefined,
  ),
  new LinkFault(
    'delay a link',
    link => {
      link.setDelay(linkDelayMs);
    },
    link => {
      link.setDelay(0);
    },
  ),
  new LinkFault(
    'silence a link one way',
    link => {
      link.silenceConnections(Direction.Backward);
    },
    () => undefined,
  ),
  new LinkFault(
    'close a link',
    link => {
      link.setClosed(true);
      link.cutConnections();
    },
    link => {
      link.setClosed(false);
    },
  ),
  new StoreFault(StoreMode.Busy),
  new StoreFault(StoreMode.Silent),
  new StoreChangeFault('change the configuration', harness => {
    harness.publishConfiguration();
  }),
  new StoreChangeFault('drop the history of the store', harness => {
    harness.dropHistory();
  }),
  new StoreChangeFault('revoke a key', revokeAnyKey),
];

const leavingFaults: readonly SoakFault[] = [
  ...faults,
  new ReplaceServerFault(),
  new ReplaceServerFault(),
  new ReplaceServerFault(),
];

const restoringFaults: readonly SoakFault[] = [
  ...leavingFaults,
  new RestoreStoreFault(),
  new RestoreStoreFault(),
  new RestoreStoreFault(),
  new RestoreStoreFault(),
];

/** Time limits that a planned change of the configuration gives to the routes; longer than any call of a session. */
const minRouteTimeoutMs = 5_000;
const maxRouteTimeoutMs = 9_000;

const applyRouteTimeout = (
  harness: SoakHarness,
  random: SeededRandom,
): void => {
  harness.routeTimeoutMs =
    minRouteTimeoutMs +
    random.pickInteger(maxRouteTimeoutMs - minRouteTimeoutMs);
  harness.publishConfiguration();
};

const plannedWork: readonly SoakFault[] = [
  new RestartGatewayFault(),
  new RestartAllGatewaysFault(),
  new ReloadGatewayFault(),
  new StoreChangeFault('change the time limits', applyRouteTimeout),
];

const pausedFaults: readonly SoakFault[] = [
  ...faults,
  ...Array.from({ length: 4 }, () => new PauseServersFault()),
];

const pausedWork: readonly SoakFault[] = [
  new RestartGatewayFault(),
  new ReloadGatewayFault(),
  new StoreChangeFault('change the configuration', harness => {
    harness.publishConfiguration();
  }),
  ...Array.from({ length: 4 }, () => new PauseServersFault()),
];

const crashFaults: readonly SoakFault[] = [
  new KillGatewayFault(),
  new RestartGatewayFault(),
  new FreezeGatewayFault(),
  new ReloadGatewayFault(),
  new StoreChangeFault('change the configuration', harness => {
    harness.publishConfiguration();
  }),
];

/** Bounds of the pause of a sound server. */
const minPauseMs = 300;
const maxPauseMs = 2_000;

/** Bounds of a fault's duration and of the pause before the next one. */
const minFaultMs = 200;
const maxFaultMs = 1_800;
export const longestPauseMs = 900;

/** Longest pause before the next planned work; a gateway serves for some time between two stops. */
const longestPlannedPauseMs = 2_400;

/** Shortest time for which a gateway serves between two stops. */
const minServingMs = 1_000;

/** Injects faults for `durationMs`, some of them at the same time; returns their names in order. */
export const runSoakFaults = (
  harness: SoakHarness,
  random: SeededRandom,
  durationMs: number,
): Promise<string[]> =>
  runFaults(faults, longestPauseMs, { harness, random, durationMs });

/** Injects faults, and servers that leave, for `durationMs`; returns their names in order. */
export const runLeavingFaults = (
  harness: SoakHarness,
  random: SeededRandom,
  durationMs: number,
): Promise<string[]> =>
  runFaults(leavingFaults, longestPauseMs, { harness, random, durationMs });

/** Injects faults, servers that leave and older copies of the store, for `durationMs`; returns their names in order. */
export const runRestoringFaults = (
  harness: SoakHarness,
  random: SeededRandom,
  durationMs: number,
): Promise<string[]> =>
  runFaults(restoringFaults, longestPauseMs, { harness, random, durationMs });

/** Injects faults, and pauses of servers, for `durationMs`; returns their names in order. */
export const runPausedFaults = (
  harness: SoakHarness,
  random: SeededRandom,
  durationMs: number,
): Promise<string[]> =>
  runFaults(pausedFaults, longestPauseMs, { harness, random, durationMs });

/** Disturbs one gateway and the configuration while servers crash, for `durationMs`; returns the names of the faults in order. */
export const runCrashFaults = (
  harness: SoakHarness,
  random: SeededRandom,
  durationMs: number,
): Promise<string[]> =>
  runFaults(crashFaults, longestPlannedPauseMs, {
    harness,
    random,
    durationMs,
  });

/** Does planned work while servers pause, for `durationMs`; returns its names in order. */
export const runPausedWork = (
  harness: SoakHarness,
  random: SeededRandom,
  durationMs: number,
): Promise<string[]> =>
  runFaults(pausedWork, longestPlannedPauseMs, {
    harness,
    random,
    durationMs,
  });

/** Does planned work for `durationMs`, some of it at the same time; returns its names in order. */
export const runPlannedWork = (
  harness: SoakHarness,
  random: SeededRandom,
  durationMs: number,
): Promise<string[]> =>
  runFaults(plannedWork, longestPlannedPauseMs, {
    harness,
    random,
    durationMs,
  });

const stopFaults: readonly SoakFault[] = [
  new RestartGatewayFault(),
  new RestartAllGatewaysFault(),
  new RestartAllAtOnceFault(),
];

/** Stops gateways until `durationMs` have passed, each some seconds after all are ready; returns what was done, in order. */
export const runStops = async (
  harness: SoakHarness,
  random: SeededRandom,
  durationMs: number,
): Promise<string[]> => {
  const endsAt = Date.now() + durationMs;
  const names: string[] = [];
  while (Date.now() < endsAt) {
    await harness.waitUntilReady();
    await waitFor(minServingMs + random.pickInteger(longestPlannedPauseMs));
    const fault = random.pickOne(stopFaults);
    names.push(fault.name);
    await fault.run(harness, random, minFaultMs);
  }
  return names;
};

interface FaultRun {
  readonly harness: SoakHarness;
  readonly random: SeededRandom;
  readonly durationMs: number;
}

export const runFaults = async (
  choices: readonly SoakFault[],
  maxPauseMs: number,
  { harness, random, durationMs }: FaultRun,
): Promise<string[]> => {
  const endsAt = Date.now() + durationMs;
  const names: string[] = [];
  const running: Promise<void>[] = [];
  while (Date.now() < endsAt) {
    const fault = random.pickOne(choices);
    const forMs = minFaultMs + random.pickInteger(maxFaultMs - minFaultMs);
    names.push(fault.name);
    running.push(fault.run(harness, random, forMs));
    await waitFor(random.pickInteger(maxPauseMs));
  }
  await Promise.all(running);
  return names;
};
