/** Operational data of an entry: the outcome ledger, its log lines and the metrics. */
import {
  DisposableStore,
  LogComponent,
  type LoggerFactory,
} from '@lycheetally/common';
import type { Registry } from 'prom-client';
import {
  defaultLedgerMinutes,
  defaultLedgerRecords,
  millisecondsPerMinute,
} from '../constants.js';
import type { EventLog } from '../eventLog.js';
import { LedgerLogWriter } from '../ledger/ledgerLogWriter.js';
import { OutcomeLedger } from '../ledger/outcomeLedger.js';
import { EntryMetrics, type EntryGauges } from '../metrics/entryMetrics.js';
import { InstrumentedLog } from '../metrics/instrumentedLog.js';
import type { LogPort } from '../ports/platform.js';
import type { NodeSettings } from '../routerNode.js';

/** Dependencies of `EntryOperations`. */
export interface EntryOperationsDependencies {
  readonly settings: NodeSettings;
  readonly registry: Registry;
  readonly events: EventLog;
  readonly loggers: LoggerFactory;
  readonly log: LogPort;
  readonly gauges: EntryGauges;
}

export class EntryOperations {
  readonly store = new DisposableStore();
  readonly ledger: OutcomeLedger;
  /** The platform's log; calls to it are measured unless metrics are off. */
  readonly logPort: LogPort;

  constructor(private readonly dependencies: EntryOperationsDependencies) {
    this.ledger = this.createLedger();
    this.logPort = this.createLogPort();
  }

  private createLedger(): OutcomeLedger {
    const { settings, loggers } = this.dependencies;
    const { operations } = settings;
    const minutes = operations?.ledgerMinutes ?? defaultLedgerMinutes;
    const ledger = new OutcomeLedger(settings.id, {
      maxRecords: operations?.ledgerRecords ?? defaultLedgerRecords,
      retentionMs: minutes * millisecondsPerMinute,
    });
    if (operations?.ledgerLines !== 'off') {
      const log = loggers.createLogger(LogComponent.Ledger);
      this.store.add(new LedgerLogWriter(ledger, log));
    }
    return ledger;
  }

  private createLogPort(): LogPort {
    const { settings, registry, events, log, gauges } = this.dependencies;
    if (settings.operations?.metrics === 'off') {
      return log;
    }
    const metrics = new EntryMetrics(registry, this.ledger, events, gauges);
    this.store.add(metrics.store);
    return new InstrumentedLog(log, registry, gauges.getNow);
  }
}
