/**
 * Limits the memory in which a gateway buffers parts of responses.
 *
 * Load pattern: many servers in trouble send bytes without end at the same time.
 * Each response is within its own limit, but all of them together would exhaust
 * the memory of the process. The largest buffers are given up first, so that
 * ordinary responses, which are small, still complete.
 */
export abstract class ResponseMemory<T> {
  /** Sets the bytes that the holder buffers; returns the holders that must release theirs. */
  abstract reserve(holder: T, bytes: number): readonly T[];
  abstract release(holder: T): void;
}

export class LargestFirstMemory<T> extends ResponseMemory<T> {
  private readonly bytesByHolder = new Map<T, number>();
  private total = 0;

  /** @param maxBytes Limit of the sum over all holders, in bytes. */
  constructor(private readonly maxBytes: number) {
    super();
  }

  /** Bytes that all holders buffer. */
  get totalBytes(): number {
    return this.total;
  }

  override reserve(holder: T, bytes: number): readonly T[] {
    this.release(holder);
    if (bytes > 0) {
      this.bytesByHolder.set(holder, bytes);
      this.total += bytes;
    }
    const evicted: T[] = [];
    while (this.total > this.maxBytes) {
      const largest = this.findLargest();
      if (largest === undefined) {
        break;
      }
      this.release(largest);
      evicted.push(largest);
    }
    return evicted;
  }

  override release(holder: T): void {
    this.total -= this.bytesByHolder.get(holder) ?? 0;
    this.bytesByHolder.delete(holder);
  }

  private findLargest(): T | undefined {
    let largest: readonly [T, number] | undefined;
    for (const entry of this.bytesByHolder) {
      if (!largest || entry[1] > largest[1]) {
        largest = entry;
      }
    }
    return largest?.[0];
  }
}
