/** Which of its histories the store answers from, as far as this gateway knows. */
import type { ComponentLogger } from '@lycheetally/common';

export class EraWatch {
  private newest = 0;

  constructor(private readonly log: ComponentLogger) {}

  /** The highest era seen; 0 until the store names one. */
  get era(): number {
    return this.newest;
  }

  /** Handles the era of an answer; answers of an older history may arrive late. */
  note(era: number): void {
    if (era <= this.newest) {
      return;
    }
    this.log.info('The era of the store rose.', { era, before: this.newest });
    this.newest = era;
  }
}
