/** What a gateway knows about suspects, kept up to date with the other gateways. */
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
import { UnservedCall, UnservedPart } from '@lycheetally/decisions';
import type { TraitKind } from './callTrait.js';
import { LearningTracker } from './learningTracker.js';
import {
  createSuspectTracker,
  type CrashSuspectTracker,
} from './crashSuspectTracker.js';
import { SuspectExchange } from './suspectExchange.js';
import { bindSuspectCharts } from './suspectExchangeCharts.js';
import type { ServiceTrouble } from '../servers/serverRegistry.js';
import { SuspectPage } from './suspectPage.js';
import { SuspectReceiver } from './suspectReceiver.js';
import { bindSuspectChart } from './suspect.js';
import type { SuspectTracker } from './suspectTracker.js';

export interface SuspectsServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  /** Addresses of all other known gateways. */
  listPeers(): readonly Address[];
  postCompletion(run: (now: Milliseconds) => void): void;
  countMessage(isAnswered: boolean): void;
  /** Returns how many servers the service has, and the ids of those in trouble. */
  describeFleet(service: string, now: Milliseconds): ServiceTrouble;
}

export class Suspects implements Disposable {
  readonly tracker: SuspectTracker;
  private readonly found: CrashSuspectTracker;
  private readonly exchange: SuspectExchange;
  readonly page: SuspectPage;
  private readonly receiver: SuspectReceiver;
  private readonly disposables = new DisposableStore();

  constructor(gatewayId: string, services: SuspectsServices) {
    const { timers, log } = services;
    this.found = this.disposables.add(
      createSuspectTracker({
        machine: getOrThrow(bindSuspectChart()),
        timers,
        log,
        policies: { part: new UnservedPart(), call: new UnservedCall() },
        gatewayId,
        describeFleet: (service, now) => services.describeFleet(service, now),
      }),
    );
    this.tracker = new LearningTracker(
      this.found,
      () => {
        // Records that another gateway sent are kept as known before changes are sent.
        services.postCompletion(now => {
          this.exchange.noteChanged(now);
        });
      },
      () => this.exchange.isLearning,
    );
    this.exchange = this.disposables.add(
      new SuspectExchange(bindSuspectCharts(), {
        ...services,
        tracker: this.tracker,
      }),
    );
    this.page = new SuspectPage({
      postCompletion: run => {
        services.postCompletion(run);
      },
      listSuspects: () => this.found.list(),
      clearSuspect: (id, now) => this.tracker.clearSuspect(id, now),
    });
    this.receiver = new SuspectReceiver({
      log,
      postCompletion: run => {
        services.postCompletion(run);
      },
      receiveMessage: (message, now) => this.exchange.receive(message, now),
    });
  }

  /** Counts the suspects of a kind that were there when a server crashed. */
  countTracked(kind: TraitKind): number {
    return this.found.countTracked(kind);
  }

  /** Counts the suspects of a kind with which calls are refused. */
  countRefused(kind: TraitKind): number {
    return this.found.countRefused(kind);
  }

  start(now: Milliseconds): void {
    this.exchange.start(now);
  }

  /** Handles that the list of gateways was read, or that there is none. */
  notePeersRead(now: Milliseconds): void {
    this.exchange.notePeersRead(now);
  }

  /** Answers another gateway's message. */
  receive(incoming: IncomingMessage, response: ServerResponse): void {
    this.receiver.receive(incoming, response);
  }

  dispose(): void {
    this.disposables.dispose();
  }
}
