/** Which calls of a gateway wait for places: none, or those of the services with a model. */
import type { ChartTimers } from '@lycheetally/charts';
import type { Disposable, Milliseconds, ValueOf } from '@lycheetally/common';
import {
  AdaptiveConcurrency,
  CallQueue,
  type BackendService,
} from '@lycheetally/decisions';
import type { GatewayMetrics } from '../gatewayMetrics.js';
import { CallPlace, type PlaceListener } from './callPlace.js';
import { ServiceQueue } from './serviceQueue.js';

/** How calls are admitted to servers. */
export const AdmissionMode = {
  Adaptive: 'adaptive',
  Unlimited: 'unlimited',
} as const;
export type AdmissionMode = ValueOf<typeof AdmissionMode>;

export abstract class CallPlaces implements Disposable {
  /** Creates the place of a call; `undefined` if calls of the service don't wait for one. */
  abstract createPlace(
    service: BackendService,
    getRequestKey: () => string,
    listener: PlaceListener,
  ): CallPlace | undefined;

  /** Handles a change of the server list, which may bring a chain. */
  abstract noteServersChanged(now: Milliseconds): void;

  abstract dispose(): void;
}

/** Every call is sent as soon as it has servers. */
export class UnlimitedPlaces extends CallPlaces {
  override createPlace(): undefined {
    return undefined;
  }

  override noteServersChanged(): void {
    return;
  }

  override dispose(): void {
    return;
  }
}

export interface AdaptivePlacesServices {
  readonly timers: ChartTimers;
  readonly metrics: GatewayMetrics;
  /** Returns a number from 0 to 1. */
  readonly getRandom: () => number;
  postCompletion(run: (now: Milliseconds) => void): void;
}

/**
 * Calls of model services wait for a place. A plain server runs what it takes beside each other
 * and turns the rest away at once, so that its calls need no limit here.
 */
export class AdaptivePlaces extends CallPlaces {
  private readonly queues = new Map<string, ServiceQueue>();
  private placeCount = 0;

  constructor(private readonly services: AdaptivePlacesServices) {
    super();
  }

  override createPlace(
    { name, model }: BackendService,
    getRequestKey: () => string,
    listener: PlaceListener,
  ): CallPlace | undefined {
    if (!model) {
      return undefined;
    }
    const queue = this.queues.get(name) ?? this.createQueue(name);
    this.queues.set(name, queue);
    this.placeCount += 1;
    const id = String(this.placeCount);
    return new CallPlace(queue, id, getRequestKey, listener);
  }

  override noteServersChanged(now: Milliseconds): void {
    for (const queue of this.queues.values()) {
      queue.noteServersChanged(now);
    }
  }

  override dispose(): void {
    for (const queue of this.queues.values()) {
      queue.dispose();
    }
  }

  private createQueue(service: string): ServiceQueue {
    const { services } = this;
    const { timers, metrics, getRandom } = services;
    const calls = new CallQueue({
      limit: new AdaptiveConcurrency(),
      getWeight: () => 1,
      getRandom,
    });
    metrics.addQueue(service, calls);
    return new ServiceQueue(calls, {
      timers,
      postCompletion: run => {
        services.postCompletion(run);
      },
      observeWait: waitMs => {
        metrics.observeWait(service, waitMs);
      },
      countRefusal: ({ reason }) => {
        metrics.countWaitRefusal(service, reason);
      },
    });
  }
}

/** Creates the places that the mode calls for. */
export const createPlaces = (
  mode: AdmissionMode,
  services: AdaptivePlacesServices,
): CallPlaces =>
  mode === AdmissionMode.Adaptive
    ? new AdaptivePlaces(services)
    : new UnlimitedPlaces();
