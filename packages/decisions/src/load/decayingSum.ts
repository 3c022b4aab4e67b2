/** A sum that decays by half every half-life, for rates and shares over the recent past. */
import type { Milliseconds } from '@lycheetally/common';

export class DecayingSum {
  private sum = 0;
  private updatedAt: Milliseconds = 0;

  constructor(private readonly halfLifeMs: Milliseconds) {}

  add(amount: number, now: Milliseconds): void {
    this.sum = this.get(now) + amount;
    this.updatedAt = now;
  }

  get(now: Milliseconds): number {
    const age = Math.max(0, now - this.updatedAt);
    return this.sum * 2 ** (-age / this.halfLifeMs);
  }

  /** Returns the rate per millisecond; accurate once the rate has been constant for a while. */
  computeRate(now: Milliseconds): number {
    return (this.get(now) * Math.LN2) / this.halfLifeMs;
  }
}
