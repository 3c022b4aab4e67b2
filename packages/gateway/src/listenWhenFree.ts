/** Waits for an address that the process before this one still holds, or that the VM does not have yet. */
import type { ComponentLogger, Result } from '@lycheetally/common';
import type { Clock } from '@lycheetally/node';
import { addressRetryMs, maxAddressWaitMs } from './constants.js';

export interface ListenServices {
  readonly clock: Clock;
  readonly log: ComponentLogger;
  /** Whether the process is about to end, so that the wait ends too. */
  hasStopped(): boolean;
}

/** Tries to listen until it succeeds, or for `maxAddressWaitMs`; then fails as the last try did. */
export const listenWhenFree = async <T>(
  listen: () => Promise<Result<T>>,
  services: ListenServices,
): Promise<Result<T>> => {
  const { clock, log } = services;
  const until = clock.getNow() + maxAddressWaitMs;
  for (let tries = 0; ; tries += 1) {
    const listening = await listen();
    if (listening.ok || services.hasStopped() || clock.getNow() >= until) {
      return listening;
    }
    if (tries === 0) {
      log.warn('An address is not free yet.', {
        reason: listening.val.message,
      });
    }
    await new Promise<void>(resolve => {
      clock.schedule(addressRetryMs, resolve);
    });
  }
};
