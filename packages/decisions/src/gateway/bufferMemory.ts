/**
 * Limits the memory in which a gateway buffers requests and responses.
 *
 * Load patterns: many servers in trouble send bytes without end at the same time, or
 * many callers send large bodies. Each buffer is within its own limit, but all of them
 * together would exhaust the memory of the process. They give way in this order:
 *
 * 1. Calls that still arrive: they have not run, and another gateway may have room.
 * 2. Responses that still arrive, the largest first, so that ordinary responses, which
 *    are small, still complete.
 * 3. What is complete is never given up: a call that may run, an answer on its way.
 */

/** Memory for what must not be given up; holders are compared by identity. */
export abstract class KeptMemory {
  /** Whether there is room to keep that many bytes of a call that arrives. */
  abstract hasRoom(holder: unknown, bytes: number): boolean;
  /** Sets the bytes that the holder keeps. */
  abstract keep(holder: unknown, bytes: number): void;
  abstract release(holder: unknown): void;
}

/** Memory for responses that still arrive, and for what is kept. */
export abstract class BufferMemory<T> extends KeptMemory {
  /** Sets the bytes of a response that still arrives; returns the holders that must release theirs. */
  abstract reserve(holder: T, bytes: number): readonly T[];
}

/** Share of the buffers that calls may take; the rest is left to their responses. */
export const maxCallShare = 1 / 2;

export class LargestFirstMemory<T> extends BufferMemory<T> {
  private readonly arriving = new Map<T, number>();
  private readonly kept = new Map<unknown, number>();
  private arrivingBytes = 0;
  private keptBytes = 0;

  /** @param maxBytes Limit of the sum over all holders, in bytes. */
  constructor(private readonly maxBytes: number) {
    super();
  }

  /** Bytes that all holders buffer. */
  get totalBytes(): number {
    return this.arrivingBytes + this.keptBytes;
  }

  override reserve(holder: T, bytes: number): readonly T[] {
    this.release(holder);
    if (bytes > 0) {
      this.arriving.set(holder, bytes);
      this.arrivingBytes += bytes;
    }
    const evicted: T[] = [];
    while (this.totalBytes > this.maxBytes) {
      const largest = this.findLargest();
      if (largest === undefined) {
        break;
      }
      this.release(largest);
      evicted.push(largest);
    }
    return evicted;
  }

  override hasRoom(holder: unknown, bytes: number): boolean {
    const others = this.keptBytes - (this.kept.get(holder) ?? 0);
    return others + bytes <= this.maxBytes * maxCallShare;
  }

  override keep(holder: unknown, bytes: number): void {
    this.release(holder);
    if (bytes > 0) {
      this.kept.set(holder, bytes);
      this.keptBytes += bytes;
    }
  }

  override release(holder: unknown): void {
    // A map of responses can be asked for any holder.
    const arriving: Map<unknown, number> = this.arriving;
    this.arrivingBytes -= arriving.get(holder) ?? 0;
    arriving.delete(holder);
    this.keptBytes -= this.kept.get(holder) ?? 0;
    this.kept.delete(holder);
  }

  private findLargest(): T | undefined {
    let largest: readonly [T, number] | undefined;
    for (const entry of this.arriving) {
      if (!largest || entry[1] > largest[1]) {
        largest = entry;
      }
    }
    return largest?.[0];
  }
}
