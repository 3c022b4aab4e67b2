/** Wraps the platform's log; counts its calls and measures the time since it last answered. */
import type { Milliseconds, Result } from '@lycheetally/common';
import { Counter, type Registry } from 'prom-client';
import { LogPort, type LogSpan } from '../ports/platform.js';
import { addGauge, metricPrefix } from './nodeMetrics.js';

const millisecondsPerSecond = 1_000;

export class InstrumentedLog extends LogPort {
  private readonly calls: Counter<'operation' | 'result'>;
  private answeredAt: Milliseconds;

  constructor(
    private readonly inner: LogPort,
    registry: Registry,
    private readonly getNow: () => Milliseconds,
  ) {
    super();
    this.answeredAt = getNow();
    this.calls = new Counter({
      name: `${metricPrefix}log_calls_total`,
      help: "Calls to the platform's log by result",
      labelNames: ['operation', 'result'],
      registers: [registry],
    });
    addGauge(
      registry,
      'log_silence_seconds',
      "Time since the platform's log last answered",
      () => (getNow() - this.answeredAt) / millisecondsPerSecond,
    );
  }

  override async read(stream: string, from: number): Promise<Result<LogSpan>> {
    return this.recordResult('read', await this.inner.read(stream, from));
  }

  override async append(
    stream: string,
    values: readonly string[],
  ): Promise<Result<number>> {
    return this.recordResult('append', await this.inner.append(stream, values));
  }

  private recordResult<T>(operation: string, result: Result<T>): Result<T> {
    this.calls.inc({ operation, result: result.ok ? 'ok' : 'failed' });
    if (result.ok) {
      this.answeredAt = this.getNow();
    }
    return result;
  }
}
