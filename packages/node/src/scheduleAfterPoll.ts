/**
 * A timer for what the other side may have answered already.
 *
 * Node runs the timers that are due before it polls. After a long stretch of work, a timeout
 * would come before the answer that waits in the socket, and the process would take its own
 * slowness for that of the other side.
 */
import type { Disposable, Milliseconds } from '@lycheetally/common';

/** Runs the callback after the delay, once I/O was polled after that. */
export const scheduleAfterPoll = (
  delay: Milliseconds,
  callback: () => void,
): Disposable => {
  let poll: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    poll = setImmediate(callback);
  }, delay);
  return {
    dispose: () => {
      clearTimeout(timer);
      clearImmediate(poll);
    },
  };
};
