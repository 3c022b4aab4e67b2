/**
 * Passes a table of the store on to other gateways.
 *
 * A gateway that asks is held until the store confirms the table anew, so that
 * one read of the store serves all of them. The answer tells how old the
 * confirmation is and how long the request was held; the asking gateway counts
 * from the moment at which it sent its request, so that no delay on the way can
 * make old news look fresh.
 */
import type { ChartTimers } from '@lycheetally/charts';
import type { Milliseconds } from '@lycheetally/common';
import {
  comparePositions,
  computeAge,
  type Moment,
  type StorePosition,
} from '@lycheetally/decisions';
import { maxNewsHoldMs } from '../constants.js';
import type { KeyedText, TableBatch } from '../ports.js';
import { TableHistory } from './tableHistory.js';

/** What another gateway asks for. */
export interface NewsRequest {
  /** Offset from which changes are asked for; all newest values when absent. */
  readonly from: number | undefined;
  /** The newest era of the store that the asking gateway has seen. */
  readonly era: number;
  /** The newest confirmation that the asking gateway has seen here. */
  readonly seen: number;
}

/** News of a table. */
export interface NewsAnswer {
  readonly records: readonly KeyedText[];
  readonly next: StorePosition;
  /** Whether the changes that were asked for are no longer kept. */
  readonly isTrimmed: boolean;
  /** Number of this confirmation, counted by the answering gateway. */
  readonly confirmation: number;
  /** Age of the confirmation when the answer was sent. */
  readonly ageMs: Milliseconds;
  /** How long the request was held. */
  readonly heldMs: Milliseconds;
}

/** Receives an answer, or `undefined` when there are no fresh news. */
export type NewsCallback = (answer: NewsAnswer | undefined) => void;

interface HeldRequest {
  readonly request: NewsRequest;
  readonly receivedAt: Moment;
  readonly reply: NewsCallback;
}

export interface NewsTableServices {
  readonly timers: ChartTimers;
  getMoment(): Moment;
}

export class NewsTable {
  private readonly history = new TableHistory();
  private confirmedAt: Moment | undefined;
  /** Begins at the time of day, so that a restarted gateway does not count lower than before. */
  private confirmation: number;
  private readonly held = new Set<HeldRequest>();

  constructor(
    private readonly services: NewsTableServices,
    /** Age of a confirmation up to which it is passed on. */
    private readonly maxAgeMs: Milliseconds,
    /** Whether requests are held until the store confirms the table anew. */
    private readonly holdsRequests: boolean,
  ) {
    this.confirmation = Math.floor(services.getMoment().wallClock);
  }

  /**
   * Takes in what was read, here or at another gateway, and answers the held requests;
   * without a time nothing is passed on. A part of the changes leaves the confirmation
   * as it was.
   */
  accept(
    batch: TableBatch,
    isComplete: boolean,
    confirmedAt: Moment | undefined,
  ): void {
    if (isComplete) {
      this.history.applyNewest(batch);
    } else {
      this.history.applyChanges(batch);
    }
    if (!batch.reachesEnd) {
      return;
    }
    this.confirmedAt = confirmedAt;
    this.confirmation += 1;
    this.replyAll();
  }

  /** Sends the gateways that wait elsewhere, since the store does not answer here. */
  noteOutage(): void {
    this.replyAll();
  }

  /** Answers at once if there is a newer confirmation than the asking gateway has seen. */
  receive(request: NewsRequest, reply: NewsCallback): void {
    const held = { request, receivedAt: this.services.getMoment(), reply };
    if (!this.hasSeenAll(request)) {
      this.reply(held);
      return;
    }
    this.held.add(held);
    this.services.timers.schedule(maxNewsHoldMs, () => {
      if (this.held.delete(held)) {
        reply(undefined);
      }
    });
  }

  /** Whether the asking gateway has seen all that is known here. */
  private hasSeenAll({ from, seen }: NewsRequest): boolean {
    return (
      this.holdsRequests && from !== undefined && this.confirmation <= seen
    );
  }

  private replyAll(): void {
    const waiting = [...this.held];
    this.held.clear();
    for (const held of waiting) {
      this.reply(held);
    }
  }

  private reply({ request, receivedAt, reply }: HeldRequest): void {
    const now = this.services.getMoment();
    const { confirmedAt, confirmation, history } = this;
    const ageMs = confirmedAt ? computeAge(confirmedAt, now) : Infinity;
    const from = { era: request.era, offset: request.from ?? 0 };
    const isBehind = comparePositions(from, history.next) > 0;
    if (ageMs > this.maxAgeMs || isBehind || this.hasSeenAll(request)) {
      reply(undefined);
      return;
    }
    const records =
      request.from === undefined
        ? history.readNewest()
        : history.readChanges(from);
    reply({
      records: records ?? [],
      next: history.next,
      isTrimmed: records === undefined,
      confirmation,
      ageMs,
      heldMs: now.monotonic - receivedAt.monotonic,
    });
  }
}
