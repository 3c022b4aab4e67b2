/** What a gateway knows about prompt parts. */
import type { ChartTimers } from '@lycheetally/charts';
import {
  DisposableStore,
  getOrThrow,
  type ComponentLogger,
  type Disposable,
} from '@lycheetally/common';
import { UnservedPart } from '@lycheetally/decisions';
import { createPromptPartTracker } from './crashingPartTracker.js';
import { bindPartChart } from './promptPart.js';
import type { PromptPartTracker } from './promptPartTracker.js';

export interface PromptPartsServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
}

export class PromptParts implements Disposable {
  readonly tracker: PromptPartTracker;
  private readonly disposables = new DisposableStore();

  constructor(gatewayId: string, services: PromptPartsServices) {
    const { timers, log } = services;
    this.tracker = this.disposables.add(
      createPromptPartTracker({
        machine: getOrThrow(bindPartChart()),
        timers,
        log,
        policy: new UnservedPart(),
        gatewayId,
      }),
    );
  }

  dispose(): void {
    this.disposables.dispose();
  }
}
