/** The process of the callers of a trial; it reports how they ended. */
import { sendCalls, type CallersOrder } from './sendCalls.js';

process.once('message', (order: CallersOrder) => {
  void sendCalls(order).then(ended => process.send?.(ended));
});
