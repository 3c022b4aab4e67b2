/** Which of its histories the store answers from, as far as this gateway knows. */
import {
  Emitter,
  type ComponentLogger,
  type Milliseconds,
} from '@lycheetally/common';

export class EraWatch {
  /** Emits the time when the store's history was seen to be replaced. */
  readonly replaced = new Emitter<Milliseconds>();
  private newest = 0;

  constructor(private readonly log: ComponentLogger) {}

  /** The highest era seen; 0 until the store names one. */
  get era(): number {
    return this.newest;
  }

  /** Handles the era of an answer; answers of an older history may arrive late. */
  note(era: number, now: Milliseconds): void {
    const before = this.newest;
    if (era <= before) {
      return;
    }
    this.log.info('The era of the store rose.', { era, before });
    this.newest = era;
    if (before > 0) {
      this.replaced.emit(now);
    }
  }
}
