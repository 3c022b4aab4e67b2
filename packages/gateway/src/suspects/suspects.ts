/** What a gateway knows about prompt parts, kept up to date with the other gateways. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ChartTimers } from '@lycheetally/charts';
import {
  DisposableStore,
  getOrThrow,
  type Address,
  type ComponentLogger,
  type Disposable,
  type Milliseconds,
} from '@lycheetally/common';
import { UnservedPart } from '@lycheetally/decisions';
import {
  createSuspectTracker,
  type CrashSuspectTracker,
} from './crashSuspectTracker.js';
import { SuspectExchange } from './suspectExchange.js';
import { bindSuspectCharts } from './suspectExchangeCharts.js';
import { SuspectReceiver } from './suspectReceiver.js';
import { bindSuspectChart } from './suspect.js';
import type { SuspectTracker } from './suspectTracker.js';
import { WatchedTracker } from './watchedTracker.js';

export interface SuspectsServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  /** Addresses of all other known gateways. */
  listPeers(): readonly Address[];
  postCompletion(run: (now: Milliseconds) => void): void;
  countMessage(isAnswered: boolean): void;
}

export class Suspects implements Disposable {
  readonly tracker: SuspectTracker;
  private readonly found: CrashSuspectTracker;
  private readonly exchange: SuspectExchange;
  private readonly receiver: SuspectReceiver;
  private readonly disposables = new DisposableStore();

  constructor(gatewayId: string, services: SuspectsServices) {
    const { timers, log } = services;
    this.found = this.disposables.add(
      createSuspectTracker({
        machine: getOrThrow(bindSuspectChart()),
        timers,
        log,
        policy: new UnservedPart(),
        gatewayId,
      }),
    );
    this.tracker = new WatchedTracker(this.found, () => {
      // Records that another gateway sent are kept as known before changes are sent.
      services.postCompletion(now => {
        this.exchange.noteChanged(now);
      });
    });
    this.exchange = this.disposables.add(
      new SuspectExchange(bindSuspectCharts(), {
        ...services,
        tracker: this.tracker,
      }),
    );
    this.receiver = new SuspectReceiver({
      log,
      postCompletion: run => {
        services.postCompletion(run);
      },
      receiveMessage: (message, now) => this.exchange.receive(message, now),
    });
  }

  /** Parts that were there when a server crashed. */
  get trackedCount(): number {
    return this.found.trackedParts;
  }

  /** Parts with which calls are refused. */
  get refusedCount(): number {
    return this.found.refusedParts;
  }

  start(now: Milliseconds): void {
    this.exchange.start(now);
  }

  /** Answers another gateway's message. */
  receive(incoming: IncomingMessage, response: ServerResponse): void {
    this.receiver.receive(incoming, response);
  }

  dispose(): void {
    this.disposables.dispose();
  }
}
