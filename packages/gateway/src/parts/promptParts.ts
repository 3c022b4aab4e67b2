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
  createPromptPartTracker,
  type CrashingPartTracker,
} from './crashingPartTracker.js';
import { PartExchange } from './partExchange.js';
import { bindPartCharts } from './partExchangeCharts.js';
import { PartReceiver } from './partReceiver.js';
import { bindPartChart } from './promptPart.js';
import type { PromptPartTracker } from './promptPartTracker.js';
import { WatchedTracker } from './watchedTracker.js';

export interface PromptPartsServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  /** Addresses of all other known gateways. */
  listPeers(): readonly Address[];
  postCompletion(run: (now: Milliseconds) => void): void;
  countMessage(isAnswered: boolean): void;
}

export class PromptParts implements Disposable {
  readonly tracker: PromptPartTracker;
  private readonly found: CrashingPartTracker;
  private readonly exchange: PartExchange;
  private readonly receiver: PartReceiver;
  private readonly disposables = new DisposableStore();

  constructor(gatewayId: string, services: PromptPartsServices) {
    const { timers, log } = services;
    this.found = this.disposables.add(
      createPromptPartTracker({
        machine: getOrThrow(bindPartChart()),
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
      new PartExchange(bindPartCharts(), {
        ...services,
        tracker: this.tracker,
      }),
    );
    this.receiver = new PartReceiver({
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
