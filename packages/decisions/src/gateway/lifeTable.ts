/**
 * A Kaplan-Meier estimate in bounded memory: the share of calls that end within a time.
 *
 * Load pattern: many calls end and others are open or were given up. Those are not
 * evidence of a short or a long life: each counts up to the age that it reached.
 */

interface Bucket {
  ended: number;
  /** Calls that were last seen at this age, still open. */
  open: number;
}

const bucketFactor = 1.1;
const minValue = 1e-3;
const maxValue = 1e12;

export class LifeTable {
  private readonly buckets = new Map<number, Bucket>();

  get size(): number {
    return this.buckets.size;
  }

  /** Number of calls that ended. */
  get endings(): number {
    return [...this.buckets.values()].reduce(
      (sum, { ended }) => sum + ended,
      0,
    );
  }

  /** Adds a call that ended after that time. */
  addEnded(value: number): void {
    this.reuseBucket(toIndex(value)).ended += 1;
  }

  /** Adds a call that was open for that time and may last longer. */
  addOpen(value: number): void {
    this.reuseBucket(toIndex(value)).open += 1;
  }

  addAll(table: LifeTable): void {
    for (const [index, { ended, open }] of table.buckets) {
      const bucket = this.reuseBucket(index);
      bucket.ended += ended;
      bucket.open += open;
    }
  }

  /** Returns an upper bound of the longest time after which a call ended; infinite if one was open for longer. */
  findLongest(): number {
    const longest = Math.max(...this.buckets.keys());
    const isEnded = (this.buckets.get(longest)?.ended ?? 0) > 0;
    return isEnded ? bucketFactor ** longest : Infinity;
  }

  /**
   * Estimates the share of calls that end within the limit. What was not seen does not
   * end: beyond the longest time it is the share that ended until then.
   */
  estimateShareWithin(limit: number): number {
    const sorted = [...this.buckets].sort(([a], [b]) => a - b);
    let atRisk = sorted.reduce(
      (sum, [, { ended, open }]) => sum + ended + open,
      0,
    );
    let survival = 1;
    for (const [index, { ended, open }] of sorted) {
      if (bucketFactor ** index > limit) {
        break;
      }
      survival *= 1 - ended / atRisk;
      atRisk -= ended + open;
    }
    return 1 - survival;
  }

  private reuseBucket(index: number): Bucket {
    const bucket = this.buckets.get(index) ?? { ended: 0, open: 0 };
    this.buckets.set(index, bucket);
    return bucket;
  }
}

/** Rounds up, so that no call seems shorter than it was. */
const toIndex = (value: number): number =>
  Math.ceil(
    Math.log(Math.min(maxValue, Math.max(minValue, value))) /
      Math.log(bucketFactor),
  );
