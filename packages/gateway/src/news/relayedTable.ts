/**
 * Reads a table at another gateway when there is one to ask, and in the store
 * otherwise.
 *
 * A gateway that does not answer is left at once: the store is read without a
 * wait, and the next reads go to another gateway.
 */
import { Ok, type Milliseconds, type Result } from '@lycheetally/common';
import {
  advancePosition,
  comparePositions,
  type StorePosition,
} from '@lycheetally/decisions';
import { maxRelayPollMs } from '../constants.js';
import type { EraWatch } from '../eraWatch.js';
import { TablePort, type RawRecord, type TableBatch } from '../ports.js';
import type { NewsClient } from './newsClient.js';
import type { NewsAnswer } from './newsTable.js';
import type { PeerDirectory, Relay } from './peerDirectory.js';
import type { RelayDuty } from './relayDuty.js';

export interface RelayServices {
  readonly client: NewsClient;
  readonly directory: PeerDirectory;
  readonly duty: RelayDuty;
  readonly eraWatch: EraWatch;
  /** Runs a callback on the event loop. */
  postCompletion(run: (now: Milliseconds) => void): void;
  countRead(isRelayed: boolean): void;
}

export class RelayedTable extends TablePort {
  /** The newest confirmation that was received, by gateway. */
  private readonly seen = new Map<string, number>();

  constructor(
    private readonly services: RelayServices,
    private readonly name: string,
    private readonly store: TablePort,
    /** Whether another gateway holds a read until there are news. */
    private readonly isHeld: boolean,
  ) {
    super();
  }

  override async readNewest(from: StorePosition): Promise<Result<TableBatch>> {
    const relay = this.chooseRelay();
    const answer = relay && (await this.request(relay, undefined));
    // A gateway that has read less would bring back what was removed since.
    if (
      answer &&
      (answer.err || comparePositions(answer.val.next, from) >= 0)
    ) {
      return answer;
    }
    this.services.countRead(false);
    return this.store.readNewest(from);
  }

  override async readChanges(
    from: StorePosition,
    waitMs: Milliseconds,
  ): Promise<Result<TableBatch>> {
    const { era } = this.services.eraWatch;
    if (era > from.era) {
      return Ok(createReplacedBatch(era));
    }
    const relay = this.chooseRelay();
    const answer = relay && (await this.request(relay, from.offset));
    if (answer) {
      return answer;
    }
    this.services.countRead(false);
    return this.store.readChanges(from, relay ? 0 : this.computeWait(waitMs));
  }

  private chooseRelay(): Relay | undefined {
    const { duty, directory } = this.services;
    return duty.isRelaying ? undefined : directory.chooseRelay();
  }

  /** A gateway that reads for others confirms the table more often, since ages add up. */
  private computeWait(waitMs: Milliseconds): Milliseconds {
    return this.services.duty.isRelaying
      ? Math.min(waitMs, maxRelayPollMs)
      : waitMs;
  }

  /** Returns `undefined` if the gateway has no fresh news. */
  private async request(
    relay: Relay,
    from: number | undefined,
  ): Promise<Result<TableBatch> | undefined> {
    const { services, name } = this;
    const newsRequest = {
      from,
      era: services.eraWatch.era,
      seen: this.seen.get(relay.id) ?? -1,
    };
    const answer = await services.client.read(relay.address, name, newsRequest);
    if (answer.err) {
      this.noteFailure(relay, answer.val.message);
      return undefined;
    }
    services.countRead(true);
    this.seen.set(relay.id, answer.val.confirmation);
    return answer.map(news => this.toBatch(news, from));
  }

  private noteFailure(relay: Relay, reason: string): void {
    const { services } = this;
    this.seen.delete(relay.id);
    services.postCompletion(now => {
      services.directory.noteFailure(relay.id, reason, now);
    });
  }

  private toBatch(news: NewsAnswer, from: number | undefined): TableBatch {
    return {
      records: addPositions(news, from),
      next: news.next,
      reachesEnd: true,
      isTrimmed: news.isTrimmed,
      confirmedAfterMs: news.heldMs - news.ageMs,
      isHeld: this.isHeld,
    };
  }
}

/** Changes follow each other without gaps. Of newest values it is only known that they were written before the next record. */
const addPositions = (
  { records, next }: NewsAnswer,
  from: number | undefined,
): RawRecord[] =>
  records.map((record, at) => ({
    ...record,
    position: advancePosition(
      next,
      from === undefined ? -1 : at - records.length,
    ),
  }));

/** Tells without a read that the changes were replaced with their history. */
const createReplacedBatch = (era: number): TableBatch => ({
  records: [],
  next: { era, offset: 0 },
  reachesEnd: false,
  isTrimmed: true,
  confirmedAfterMs: 0,
  isHeld: false,
});
