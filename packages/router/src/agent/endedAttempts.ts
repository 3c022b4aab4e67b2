/**
 * Remembers the attempts that an agent must not run again, and the answers that
 * an entry may have missed. Both are bounded; the oldest are dropped first.
 */
import {
  MessageKind,
  type PeerMessage,
  type Token,
} from '@lycheetally/protocol';
import { maxKeptAnswerBytes } from '../constants.js';

/** The answer of an ended attempt. */
export interface EndedAttempt {
  /** The message that reported the end to the owner. */
  readonly end: PeerMessage;
  readonly tokens: readonly Token[];
}

export class EndedAttempts {
  private readonly keys = new Set<string>();
  private readonly answers = new Map<string, EndedAttempt>();

  constructor(
    private readonly capacity: number,
    private readonly answerCapacity: number,
  ) {}

  /** Remembers an attempt and, unless it is too large to keep, its answer. */
  add(key: string, ended?: EndedAttempt): void {
    this.keys.add(key);
    dropOldest(this.keys, this.capacity);
    if (ended && isKeepable(ended.end)) {
      this.answers.set(key, ended);
      dropOldest(this.answers, this.answerCapacity);
    }
  }

  has(key: string): boolean {
    return this.keys.has(key);
  }

  /** Returns the answer of an attempt; `undefined` when it was dropped or never kept. */
  get(key: string): EndedAttempt | undefined {
    return this.answers.get(key);
  }
}

const isKeepable = (end: PeerMessage): boolean =>
  end.kind !== MessageKind.Finished ||
  (end.value.plain?.body.length ?? 0) <= maxKeptAnswerBytes;

const dropOldest = (
  kept: Set<string> | Map<string, EndedAttempt>,
  capacity: number,
): void => {
  const [oldest] = kept.keys();
  if (kept.size > capacity && oldest !== undefined) {
    kept.delete(oldest);
  }
};
