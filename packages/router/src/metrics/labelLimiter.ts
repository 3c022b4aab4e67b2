/** Limits the number of values of a metric label when they come from untrusted input. */

/** Value used in place of all values that exceed the limit or are not plain names. */
export const otherLabel = 'other';

const namePattern = /^[A-Za-z0-9._-]{1,64}$/;

export class LabelLimiter {
  private readonly values = new Set<string>();

  constructor(private readonly maxValues: number) {}

  /** Returns the value itself if it is a plain name and within the limit, else `otherLabel`. */
  toLabel(value: string): string {
    if (this.values.has(value)) {
      return value;
    }
    if (!namePattern.test(value) || this.values.size >= this.maxValues) {
      return otherLabel;
    }
    this.values.add(value);
    return value;
  }
}
