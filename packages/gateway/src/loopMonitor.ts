/** Observes the turns of the event loop, and logs long ones at a bounded rate. */
import type { ComponentLogger, Milliseconds } from '@lycheetally/common';
import type { TurnMeasure } from '@lycheetally/node';
import { longTurnMs, turnLogIntervalMs } from './constants.js';
import type { GatewayMetrics } from './gatewayMetrics.js';

export class LoopMonitor {
  private loggedAt: Milliseconds = -Infinity;
  /** Long turns since the last line. */
  private unlogged = 0;

  constructor(
    private readonly metrics: GatewayMetrics,
    private readonly log: ComponentLogger,
  ) {}

  observe(turn: TurnMeasure, now: Milliseconds): void {
    this.metrics.observeTurn(turn);
    if (turn.durationMs + turn.readMs < longTurnMs) {
      return;
    }
    if (now - this.loggedAt < turnLogIntervalMs) {
      this.unlogged += 1;
      return;
    }
    this.log.warn('A turn of the loop was long.', {
      turnMs: Math.round(turn.durationMs),
      readMs: Math.round(turn.readMs),
      events: turn.events,
      waiting: turn.waiting,
      longestWaitMs: Math.round(turn.longestWaitMs),
      longestEventMs: Math.round(turn.longestEventMs),
      longestEvent: turn.longestKind,
      unlogged: this.unlogged,
    });
    this.loggedAt = now;
    this.unlogged = 0;
  }
}
