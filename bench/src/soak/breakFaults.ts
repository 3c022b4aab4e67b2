/** Faults beside answers that break off: gateways that stall, and server processes that pause or are killed. */
import { waitFor, type SeededRandom } from '@lycheetally/testkit';
import {
  ReloadGatewayFault,
  RestartGatewayFault,
  SoakFault,
  StoreChangeFault,
  longestPauseMs,
  runFaults,
} from './soakFaults.js';
import type { SoakHarness } from './soakHarness.js';

/** Bounds of the pause of a server process, which second runs begin in. */
const minServerPauseMs = 500;
const maxServerPauseMs = 1_500;

/** Bounds of the stall of a gateway. */
const minStallMs = 20;
const maxStallMs = 200;

/** The loop of a gateway finds what came in the meantime in one turn. */
class StallGatewayFault extends SoakFault {
  readonly name = 'stall a gateway';

  override async run(
    harness: SoakHarness,
    random: SeededRandom,
  ): Promise<void> {
    const gateway = random.pickOne(harness.gateways);
    gateway.sendSignal('SIGSTOP');
    await waitFor(minStallMs + random.pickInteger(maxStallMs - minStallMs));
    gateway.sendSignal('SIGCONT');
  }
}

class PauseServerFault extends SoakFault {
  readonly name = 'pause a server process';

  override run(harness: SoakHarness, random: SeededRandom): Promise<void> {
    const forMs =
      minServerPauseMs +
      random.pickInteger(maxServerPauseMs - minServerPauseMs);
    return random.pickOne(harness.serverProcesses).pause(forMs);
  }
}

class KillServerFault extends SoakFault {
  readonly name = 'kill a server process';

  override run(harness: SoakHarness, random: SeededRandom): Promise<void> {
    random.pickOne(harness.serverProcesses).cut();
    return Promise.resolve();
  }
}

const breakFaults: readonly SoakFault[] = [
  ...Array.from({ length: 4 }, () => new StallGatewayFault()),
  ...Array.from({ length: 3 }, () => new PauseServerFault()),
  new KillServerFault(),
  new RestartGatewayFault(),
  new ReloadGatewayFault(),
  new StoreChangeFault('change the configuration', harness => {
    harness.publishConfiguration();
  }),
];

/** Stalls gateways, pauses and kills servers and does planned work, for `durationMs`; returns the names of the faults in order. */
export const runBreakFaults = (
  harness: SoakHarness,
  random: SeededRandom,
  durationMs: number,
): Promise<string[]> =>
  runFaults(breakFaults, longestPauseMs, { harness, random, durationMs });
