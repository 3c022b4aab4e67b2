/**
 * Keeps calls from servers that may be the last ones of their service while a gateway that
 * has started does not know which calls the others suspect, and which servers crashed.
 */
import { mayBeLastServer } from '@lycheetally/decisions';
import type { Milliseconds } from '@lycheetally/common';
import type {
  Placement,
  PlacementChoice,
  SuspectTracker,
  TracedCall,
} from './suspectTracker.js';
import { WatchedTracker } from './watchedTracker.js';

export class LearningTracker extends WatchedTracker {
  constructor(
    tracker: SuspectTracker,
    handleChanged: (now: Milliseconds) => void,
    private readonly isLearning: () => boolean,
  ) {
    super(tracker, handleChanged);
  }

  override choosePlacement(
    call: TracedCall,
    choice: PlacementChoice,
    now: Milliseconds,
  ): Placement {
    return this.isLearning() &&
      mayBeLastServer(choice.usable.length, choice.total)
      ? { isFree: false, serverId: undefined }
      : super.choosePlacement(call, choice, now);
  }
}
