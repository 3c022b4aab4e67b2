/**
 * Exchanges records of suspects with the gateways of all failure domains.
 *
 * Changes are sent to all of them at once. Messages get lost, and gateways start
 * without records, so each gateway also compares its records with those of a few
 * others. Neither the store nor a relay takes part. Context of the charts
 * `suspectPush` and `suspectPull`.
 */
import type { ChartInstance, ChartTimers } from '@lycheetally/charts';
import type {
  Address,
  ComponentLogger,
  Milliseconds,
  Result,
} from '@lycheetally/common';
import {
  suspectComparedPeers,
  suspectJoinPeers,
  suspectSettlingMs,
} from './exchangeConstants.js';
import { SuspectClient } from './suspectClient.js';
import type {
  SuspectPullEvent,
  SuspectPullMachine,
  SuspectPushEvent,
  SuspectPushMachine,
} from './suspectExchangeCharts.js';
import {
  trimRecords,
  type SuspectAnswer,
  type SuspectMessage,
} from './suspectMessage.js';
import {
  SuspectLearning,
  type SuspectLearningMachine,
} from './suspectLearning.js';
import type { SuspectPeer, SuspectPeerMachine } from './suspectPeer.js';
import { SuspectPeers } from './suspectPeers.js';
import type { SuspectTracker } from './suspectTracker.js';
import { SentRecords, computeDigest } from './recordDigests.js';

export interface SuspectExchangeServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  readonly tracker: SuspectTracker;
  /** Addresses of all other known gateways. */
  listPeers(): readonly Address[];
  postCompletion(run: (now: Milliseconds) => void): void;
  countMessage(isAnswered: boolean): void;
}

export interface SuspectMachines {
  readonly push: SuspectPushMachine;
  readonly pull: SuspectPullMachine;
  readonly peer: SuspectPeerMachine;
  readonly learning: SuspectLearningMachine;
}

export class SuspectExchange {
  private readonly client = new SuspectClient();
  private readonly sent = new SentRecords();
  private readonly peers: SuspectPeers;
  private readonly learning: SuspectLearning;
  private readonly push: ChartInstance<SuspectExchange, SuspectPushEvent>;
  private readonly pull: ChartInstance<SuspectExchange, SuspectPullEvent>;
  private startedAt: Milliseconds = 0;
  private pushedRevision: number;

  constructor(
    machines: SuspectMachines,
    private readonly services: SuspectExchangeServices,
  ) {
    const { timers, log, tracker } = services;
    this.peers = new SuspectPeers(machines.peer, timers, () =>
      services.listPeers(),
    );
    this.learning = new SuspectLearning(machines.learning, timers, log);
    this.push = machines.push.createInstance(this, timers);
    this.pull = machines.pull.createInstance(this, timers);
    this.pushedRevision = tracker.revision;
  }

  /** Whether this gateway has just started and may not know what the others suspect. */
  get isLearning(): boolean {
    return this.learning.isLearning;
  }

  start(now: Milliseconds): void {
    this.startedAt = now;
    this.learning.start(now);
    this.push.start(now);
    this.pull.start(now);
  }

  /** Handles that the list of gateways was read, or that there is none. */
  notePeersRead(now: Milliseconds): void {
    this.pull.send({ type: 'PEERS_READ' }, now);
  }

  /** Handles a change of the tracker's records. */
  noteChanged(now: Milliseconds): void {
    this.push.send({ type: 'CHANGED' }, now);
    this.pull.send({ type: 'CHANGED' }, now);
  }

  /** Takes in another gateway's message and returns the answer. */
  receive(message: SuspectMessage, now: Milliseconds): SuspectAnswer {
    this.merge(message.records, now);
    const { isLearning } = this;
    if (message.digest === undefined) {
      return { isSame: true, isLearning, records: [] };
    }
    const records = this.listRecords(now);
    const isSame = computeDigest(records) === message.digest;
    return { isSame, isLearning, records: isSame ? [] : records };
  }

  dispose(): void {
    this.push.dispose();
    this.pull.dispose();
    this.learning.dispose();
    this.peers.dispose();
    this.client.dispose();
  }

  /** Actions and guards of the charts. */
  readonly chartActions = {
    pushChanges: (now: Milliseconds): void => {
      this.pushedRevision = this.services.tracker.revision;
      const all = this.listRecords(now);
      const changed = this.sent.filterChanged(all);
      this.sent.keepAll(all);
      // Each of them is sent in an event of its own, as there may be many.
      const [allNews, news] = [{ records: all }, { records: changed }];
      for (const peer of this.peers.listReachable(now)) {
        const message = peer.hasMissed ? allNews : news;
        this.services.postCompletion(() => {
          this.sendNews(peer, message);
        });
      }
      if (changed.length > 0) {
        this.peers.noteMissed();
      }
    },
    requestAtStart: (now: Milliseconds): void => {
      const questions = this.compare(suspectJoinPeers, now);
      this.learning.noteAsked(questions, now);
    },
    requestComparison: (now: Milliseconds): void => {
      this.compare(suspectComparedPeers, now);
    },
    hasUnsent: (now: Milliseconds): boolean =>
      this.services.tracker.revision !== this.pushedRevision ||
      (this.peers.hasMissed && this.services.tracker.hasRecords(now)),
    mayHaveMissed: (now: Milliseconds): boolean =>
      now - this.startedAt < suspectSettlingMs ||
      this.services.tracker.hasRecords(now),
  };

  private listRecords(now: Milliseconds): SuspectMessage['records'] {
    return trimRecords(this.services.tracker.listRecords(now));
  }

  private merge(records: SuspectMessage['records'], now: Milliseconds): void {
    if (records.length === 0) {
      return;
    }
    const { tracker } = this.services;
    const listMerged = (): SuspectMessage['records'] =>
      trimRecords(tracker.listRecordsOf(records, now));
    const before = listMerged();
    tracker.mergeRecords(records, now);
    this.sent.keepMerged(before, listMerged());
  }

  /** Compares the records with those of some other gateways; returns how many were asked. */
  private compare(count: number, now: Milliseconds): number {
    const digest = computeDigest(this.listRecords(now));
    const asked = this.peers.listReachable(now).slice(0, count);
    for (const peer of asked) {
      this.send(peer, { digest, records: [] }, (result, answeredAt) => {
        if (result.ok) {
          this.receiveComparison(peer, result.val, answeredAt);
        }
        const isInformed = result.ok && result.val.isLearning !== true;
        this.learning.noteAnswered(isInformed, answeredAt);
      });
    }
    return asked.length;
  }

  private receiveComparison(
    peer: SuspectPeer,
    answer: SuspectAnswer,
    now: Milliseconds,
  ): void {
    this.pull.send({ type: 'ANSWERED' }, now);
    this.merge(answer.records, now);
    const records = this.listRecords(now);
    if (!answer.isSame && records.length > 0) {
      this.sendNews(peer, { records });
    }
  }

  private sendNews(peer: SuspectPeer, message: SuspectMessage): void {
    if (message.records.length === 0) {
      return;
    }
    peer.hasMissed = false;
    this.send(peer, message, () => undefined);
  }

  private send(
    peer: SuspectPeer,
    message: SuspectMessage,
    handleResult: (result: Result<SuspectAnswer>, now: Milliseconds) => void,
  ): void {
    void this.client.send(peer.address, message).then(result => {
      this.services.postCompletion(now => {
        this.services.countMessage(result.ok);
        peer.noteResult(result.ok, now);
        handleResult(result, now);
      });
    });
  }
}
