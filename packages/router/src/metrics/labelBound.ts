/** Bounds the values that a label may take, whatever text comes from outside. */

/** The value that stands for all that have no place of their own. */
export const otherLabel = 'other';

const namePattern = /^[A-Za-z0-9._-]{1,64}$/;

export class LabelBound {
  private readonly values = new Set<string>();

  constructor(private readonly maxValues: number) {}

  /** Returns the value while it is a plain name and there is a place for it. */
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
