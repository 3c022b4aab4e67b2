/** When the servers of one service crashed, and when it wrote answers, as one entry saw it. */
import {
  CrashTimes,
  ServingTimes,
  sightingLifetimeMs,
  type ServiceHistory,
} from '@lycheetally/decisions';
import {
  answerTimeResolutionMs,
  maxCrashesPerService,
} from '../../constants.js';

export class ServiceCrashes implements ServiceHistory {
  readonly crashTimes = new CrashTimes(maxCrashesPerService);
  readonly servings = new ServingTimes(
    answerTimeResolutionMs,
    sightingLifetimeMs,
  );
}
