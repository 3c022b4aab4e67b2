/** A layer placer with a registry, on a clock that a test advances. */
import {
  Err,
  ErrorKind,
  LogComponent,
  Ok,
  TypedError,
  getOrThrow,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import { UnlimitedIntake } from '@lycheetally/decisions';
import { maxFirstPlacementWaitMs } from '../src/constants.js';
import { bindOrderChart } from '../src/placement/layerOrder.js';
import {
  LayerPlacer,
  bindLeaderChart,
  type PlacerServices,
} from '../src/placement/layerPlacer.js';
import { LeaderElectionPort, type LeaderGrant } from '../src/ports.js';
import { bindHealthChart } from '../src/servers/server.js';
import { bindIntakeChart } from '../src/servers/serverIntake.js';
import { bindListingChart } from '../src/servers/serverListing.js';
import { ServerRegistry } from '../src/servers/serverRegistry.js';
import type { ManualTimers } from './manualTimers.js';
import { createQuietLoggers } from './quietLoggers.js';

export const unavailable = new TypedError(
  ErrorKind.BackendFailed,
  'no',
  'start it',
);

/** Makes its only member the leader. */
export class LoneElection extends LeaderElectionPort {
  override join(): Promise<Result<LeaderGrant>> {
    return Promise.resolve(Ok({ isLeader: true, share: 1, fencingToken: 1 }));
  }

  override leave(): Promise<Result<void>> {
    return Promise.resolve(Ok(undefined));
  }
}

export interface PlacerFixture {
  readonly placer: LayerPlacer;
  readonly registry: ServerRegistry;
}

/** What a test gives of the services of a placer. */
export type FixtureServices = Pick<
  PlacerServices,
  | 'leaderElection'
  | 'control'
  | 'placement'
  | 'orderRules'
  | 'lossHandler'
  | 'listServices'
>;

export const createPlacer = (
  timers: ManualTimers,
  given: FixtureServices,
): PlacerFixture => {
  const log = createQuietLoggers().createLogger(LogComponent.Layers);
  const postCompletion = (run: (now: Milliseconds) => void): void => {
    run(timers.now);
  };
  const registry = new ServerRegistry({
    timers,
    log,
    healthMachine: getOrThrow(bindHealthChart()),
    listingMachine: getOrThrow(bindListingChart()),
    intakeMachine: getOrThrow(bindIntakeChart()),
    createIntakePolicy: () => new UnlimitedIntake(),
    getOutage: () => ({ outageSince: undefined, outageEndedAt: -Infinity }),
    requestHealth: () => Promise.resolve(Err(unavailable)),
    handleLost: () => undefined,
    handleReturn: () => undefined,
    postCompletion,
  });
  const placer = new LayerPlacer(
    getOrThrow(bindLeaderChart()),
    getOrThrow(bindOrderChart()),
    {
      timers,
      log,
      serverRegistry: registry,
      startedAt: -maxFirstPlacementWaitMs,
      heartbeatMs: 60_000,
      setShare: () => undefined,
      postCompletion,
      ...given,
    },
  );
  return { placer, registry };
};

/** Advances the clock in small steps; completions run between them. */
export const advanceTo = async (
  timers: ManualTimers,
  until: Milliseconds,
): Promise<void> => {
  while (timers.now < until) {
    timers.advance(fixtureStepMs);
    await new Promise(resolve => setImmediate(resolve));
  }
};

const fixtureStepMs = 10;
