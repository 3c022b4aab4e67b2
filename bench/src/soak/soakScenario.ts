/** What a soak does to its gateways, and who calls them meanwhile. */
import { SeededRandom } from '@lycheetally/testkit';
import { runBreakFaults } from './breakFaults.js';
import {
  mixedStreamSteps,
  shortSteps,
  runCallers,
  runRepeatedCall,
  runSessions,
  type SoakLoad,
} from './soakCallers.js';
import {
  runCrashFaults,
  runLeavingFaults,
  runPausedFaults,
  runPausedWork,
  runPlannedWork,
  runRestoringFaults,
  runSoakFaults,
  runStops,
} from './soakFaults.js';
import {
  defaultProcesses,
  type SoakHarness,
  type SoakProcesses,
} from './soakHarness.js';
import { runStreamCallers } from './streamCallers.js';
import { ServerKind, SoakKind, deadlyBody, type SoakCall } from './types.js';

export abstract class SoakScenario {
  abstract readonly name: string;

  /** Whether the soak consists of planned work only. */
  abstract readonly isPlannedOnly: boolean;

  /** Whether gateways have a reason to refuse calls only while they stop or start. */
  readonly refusesOnlyAtStops: boolean = false;

  /** Time limit of the routes at the start, in milliseconds. */
  abstract readonly routeTimeoutMs: number;

  /** Whether calls kill their servers, which are judged by how many. */
  readonly hasDeadlyCalls: boolean = false;

  /** What runs in processes of its own. */
  getProcesses(_seed: number): SoakProcesses {
    return defaultProcesses;
  }

  /** Duration of a short soak in a test. */
  readonly testMs: number = 5_000;

  /** Sends calls while the gateways are disturbed. */
  abstract runCallers(load: SoakLoad): Promise<SoakCall[]>;

  /** Disturbs the gateways for `durationMs`; returns what was done, in order. */
  abstract runFaults(
    harness: SoakHarness,
    random: SeededRandom,
    durationMs: number,
  ): Promise<string[]>;
}

/** Any fault, one at a time and together. */
export class FaultScenario extends SoakScenario {
  override readonly name: string = 'faults';
  override readonly isPlannedOnly = false;
  override readonly routeTimeoutMs: number = 3_000;

  override runCallers(load: SoakLoad): Promise<SoakCall[]> {
    return runCallers(load);
  }

  override runFaults(
    harness: SoakHarness,
    random: SeededRandom,
    durationMs: number,
  ): Promise<string[]> {
    return runSoakFaults(harness, random, durationMs);
  }
}

/** Any fault while servers are replaced, and those that leave serve on. */
export class LeavingScenario extends FaultScenario {
  override readonly name = 'leaving servers';

  override runFaults(
    harness: SoakHarness,
    random: SeededRandom,
    durationMs: number,
  ): Promise<string[]> {
    return runLeavingFaults(harness, random, durationMs);
  }
}

/** Any fault and servers that leave, while the store comes back from older copies. */
export class RestoringScenario extends FaultScenario {
  override readonly name = 'restored store';

  override runFaults(
    harness: SoakHarness,
    random: SeededRandom,
    durationMs: number,
  ): Promise<string[]> {
    return runRestoringFaults(harness, random, durationMs);
  }
}

/** Any fault while sound servers pause. */
export class PausedFaultScenario extends FaultScenario {
  override readonly name = 'paused servers and faults';

  override runFaults(
    harness: SoakHarness,
    random: SeededRandom,
    durationMs: number,
  ): Promise<string[]> {
    return runPausedFaults(harness, random, durationMs);
  }
}

/** Stops, reloads and new configurations, with callers that keep their connections. */
export class PlannedScenario extends SoakScenario {
  override readonly name: string = 'planned work';
  override readonly isPlannedOnly = true;
  override readonly routeTimeoutMs: number = 6_000;

  override runCallers(load: SoakLoad): Promise<SoakCall[]> {
    return runSessions(load);
  }

  override runFaults(
    harness: SoakHarness,
    random: SeededRandom,
    durationMs: number,
  ): Promise<string[]> {
    harness.endFaults();
    return runPlannedWork(harness, random, durationMs);
  }
}

/** Stops of gateways that started seconds before, one by one and all at once, under streams of mixed lengths. */
export class StopScenario extends PlannedScenario {
  override readonly name = 'stops';
  override readonly routeTimeoutMs = 15_000;
  override readonly testMs = 10_000;

  override runCallers(load: SoakLoad): Promise<SoakCall[]> {
    return runSessions(load, mixedStreamSteps);
  }

  override runFaults(
    harness: SoakHarness,
    random: SeededRandom,
    durationMs: number,
  ): Promise<string[]> {
    harness.endFaults();
    return runStops(harness, random, durationMs);
  }
}

/** Planned work while sound servers pause, which is no reason to lose or to refuse a call. */
export class PausedScenario extends PlannedScenario {
  override readonly name = 'paused servers';
  override readonly refusesOnlyAtStops = true;
  override readonly routeTimeoutMs = 9_000;
  override readonly testMs = 8_000;

  override runCallers(load: SoakLoad): Promise<SoakCall[]> {
    return runSessions(load, shortSteps, shortSteps);
  }

  override runFaults(
    harness: SoakHarness,
    random: SeededRandom,
    durationMs: number,
  ): Promise<string[]> {
    harness.endFaults();
    return runPausedWork(harness, random, durationMs);
  }
}

/** A call kills each server of a service of two or three that begins to run it, and comes again. */
export class CrashScenario extends FaultScenario {
  override readonly name = 'deadly calls';
  override readonly testMs = 6_000;

  override readonly hasDeadlyCalls = true;

  override getProcesses(seed: number): SoakProcesses {
    return { ...defaultProcesses, gateways: 3, servers: 2 + (seed % 2) };
  }

  override async runCallers(load: SoakLoad): Promise<SoakCall[]> {
    const kind = new SeededRandom(load.seed).pickOne(Object.values(SoakKind));
    const deadly = { kind, body: deadlyBody, pauseMs: deadlyPauseMs };
    const calls = [runCallers(load), runRepeatedCall(load, deadly)];
    return (await Promise.all(calls)).flat();
  }

  override runFaults(
    harness: SoakHarness,
    random: SeededRandom,
    durationMs: number,
  ): Promise<string[]> {
    return runCrashFaults(harness, random, durationMs);
  }
}

/** Streams and answers end in many ways, with their connections too, while gateways stall and servers pause and are killed. */
export class BreakScenario extends FaultScenario {
  override readonly name = 'answers that break off';
  override readonly routeTimeoutMs = 6_000;
  override readonly testMs = 8_000;

  override getProcesses(): SoakProcesses {
    return {
      gateways: 3,
      servers: 3,
      restartMs: 600,
      serverKind: ServerKind.Breaking,
    };
  }

  override runCallers(load: SoakLoad): Promise<SoakCall[]> {
    return runStreamCallers(load);
  }

  override runFaults(
    harness: SoakHarness,
    random: SeededRandom,
    durationMs: number,
  ): Promise<string[]> {
    return runBreakFaults(harness, random, durationMs);
  }
}

/** Time between an answer to a deadly call and the next one, in milliseconds. */
const deadlyPauseMs = 300;
