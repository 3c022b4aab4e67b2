/** Asks backend servers for their health, a limited number of them at the same time. */
import PQueue from 'p-queue';
import type { Result } from '@lycheetally/common';
import type { BackendRecord } from '@lycheetally/decisions';
import { healthTimeoutMs, maxHealthRequests } from '../constants.js';
import type { ServerControlPort, ServerHealth } from '../ports.js';

export interface HealthRequestServices {
  readonly control: ServerControlPort;
  /** Returns the path at which the servers of a service answer. */
  getHealthPath(service: string): string;
  countProbe(): void;
}

export class HealthRequests {
  private readonly queue = new PQueue({ concurrency: maxHealthRequests });

  constructor(private readonly services: HealthRequestServices) {}

  /** Fails if the server sends no answer in time. */
  send({ service, address }: BackendRecord): Promise<Result<ServerHealth>> {
    const { services } = this;
    return this.queue.add(() => {
      services.countProbe();
      const path = services.getHealthPath(service);
      return services.control.readHealth(address, path, healthTimeoutMs);
    });
  }

  dispose(): void {
    this.queue.clear();
  }
}
