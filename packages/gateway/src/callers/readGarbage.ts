/**
 * Bounds the garbage of what callers send, by collecting it after so many bytes.
 *
 * Each read has a buffer outside the heap, which is freed when its small object is collected. V8
 * lets 64 MiB of them come together, more than a small VM has beside the process. What lived for a
 * while, as the body of a call that is then refused, is freed by whole collections only.
 */
import type { GarbageCollector } from '@lycheetally/node';

/** Young collections for each whole one; a whole one takes ten times as long. */
const youngCollections = 3;

export class ReadGarbage {
  private bytes = 0;
  private collections = 0;

  constructor(
    private readonly collector: GarbageCollector,
    /** Memory after which garbage is collected, in bytes. */
    private readonly maxBytes: number,
  ) {}

  /** Notes the memory of what was read, or made of it. */
  note(bytes: number): void {
    this.bytes += bytes;
    if (this.bytes < this.maxBytes) {
      return;
    }
    this.bytes = 0;
    this.collections += 1;
    if (this.collections % (youngCollections + 1) === 0) {
      this.collector.collectAll();
    } else {
      this.collector.collectYoung();
    }
  }
}
