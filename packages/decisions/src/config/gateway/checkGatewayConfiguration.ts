/** Runs all checks on a gateway's configuration; the time is linear in its size. */
import type { DeclaredConfiguration } from '../../gateway/declaredConfiguration.js';
import type { ConfigurationCheck } from './configurationCheck.js';
import type { ConfigurationFinding } from './configurationFinding.js';
import {
  AttemptsOverTimeLimitCheck,
  BodyOverMemoryCheck,
  IdleUnderHeadLimitCheck,
  IdleUnderSecondCheck,
  LimitNotPositiveCheck,
  PauseOverTimeLimitCheck,
  TargetOverTimeLimitCheck,
} from './limitChecks.js';
import {
  AccountWithoutKeyCheck,
  DuplicateNameCheck,
  KeyHeldTwiceCheck,
  UnknownServiceCheck,
  UnusedServiceCheck,
} from './nameChecks.js';
import {
  HiddenRouteCheck,
  NoTrafficCheck,
  UnmatchableRouteCheck,
  UnusedShareCheck,
} from './routeChecks.js';

/** Errors first, so that a bounded log shows them. */
const checks: readonly ConfigurationCheck[] = [
  new DuplicateNameCheck(),
  new HiddenRouteCheck(),
  new UnmatchableRouteCheck(),
  new UnknownServiceCheck(),
  new NoTrafficCheck(),
  new KeyHeldTwiceCheck(),
  new LimitNotPositiveCheck(),
  new UnusedServiceCheck(),
  new UnusedShareCheck(),
  new AccountWithoutKeyCheck(),
  new TargetOverTimeLimitCheck(),
  new PauseOverTimeLimitCheck(),
  new AttemptsOverTimeLimitCheck(),
  new IdleUnderHeadLimitCheck(),
  new IdleUnderSecondCheck(),
  new BodyOverMemoryCheck(),
];

/**
 * Lists what is wrong with a configuration, errors first.
 * @param memoryBytes Memory of the smallest VM that runs a gateway, if known.
 */
export const checkGatewayConfiguration = (
  configuration: DeclaredConfiguration,
  memoryBytes?: number,
): readonly ConfigurationFinding[] =>
  checks.flatMap(check => [
    ...check.listFindings({ configuration, memoryBytes }),
  ]);
