/**
 * The attempts that an agent must not run again, and the answers that an entry
 * may have missed. The oldest are forgotten first.
 */
import {
  MessageKind,
  type PeerMessage,
  type Token,
} from '@lycheetally/protocol';
import { maxKeptAnswerBytes } from '../constants.js';

/** What is kept of an ended attempt. */
export interface EndedAttempt {
  /** The message that told its owner of the end. */
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

  /** Remembers an attempt, and its answer for as long as there is room. */
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

  /** Returns what is kept; `undefined` when it is forgotten or never was. */
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
