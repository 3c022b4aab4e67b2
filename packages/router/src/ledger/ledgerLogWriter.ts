/** Writes each outcome record as a structured line of the log. */
import type { Disposable, ComponentLogger } from '@lycheetally/common';
import type { OutcomeLedger } from './outcomeLedger.js';

export class LedgerLogWriter implements Disposable {
  private readonly subscription: Disposable;

  constructor(ledger: OutcomeLedger, log: ComponentLogger) {
    this.subscription = ledger.written.subscribe(record => {
      const { servers, firstTokenAt, ...fields } = record;
      log.info('A request has ended', {
        ...fields,
        servers: servers.join(','),
        ...(firstTokenAt === undefined ? {} : { firstTokenAt }),
      });
    });
  }

  dispose(): void {
    this.subscription.dispose();
  }
}
