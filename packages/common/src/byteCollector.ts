/**
 * Collects bytes that arrive in chunks of any size.
 *
 * A chunk is an object of over a hundred bytes, however few bytes it has, and may
 * keep the memory of a whole read in use. Small chunks are therefore copied into blocks
 * that grow with what was collected; large ones that have their memory for themselves
 * are blocks as they are. A sender cannot make the receiver spend more than about three
 * times what it sends.
 */

/** Smallest block, in bytes. */
const minBlockBytes = 1_024;

/** Largest block, unless one chunk needs more, in bytes. */
const maxBlockBytes = 256 * 1_024;

/** Smallest chunk that is kept as it is, in bytes; its object takes little beside it. */
const minKeptBytes = 4_096;

const noBytes: Buffer = Buffer.alloc(0);

export class ByteCollector {
  private blocks: Buffer[] = [];
  private last: Buffer = noBytes;
  /** Bytes of the last block that are in use. */
  private lastUsed = 0;
  private total = 0;
  private allocated = 0;

  /** Number of the collected bytes. */
  get length(): number {
    return this.total;
  }

  /** Memory that the blocks take, in bytes. */
  get memoryBytes(): number {
    return this.allocated;
  }

  /** The newest byte; absent while there is none. */
  get lastByte(): number | undefined {
    return this.last[this.lastUsed - 1];
  }

  append(chunk: Buffer): void {
    if (this.mayKeep(chunk)) {
      this.addBlock(chunk);
      this.lastUsed = chunk.length;
      this.total += chunk.length;
      return;
    }
    const copied = chunk.copy(this.last, this.lastUsed);
    this.lastUsed += copied;
    this.total += copied;
    if (copied < chunk.length) {
      this.addBlock(createBlock(this.total, chunk.length - copied));
      this.append(chunk.subarray(copied));
    }
  }

  /** Returns the collected bytes and forgets them. */
  take(): Buffer {
    this.trimLast();
    const [first = noBytes] = this.blocks;
    const taken =
      this.blocks.length > 1 ? Buffer.concat(this.blocks, this.total) : first;
    this.clear();
    return taken;
  }

  clear(): void {
    this.blocks = [];
    this.last = noBytes;
    this.lastUsed = 0;
    this.total = 0;
    this.allocated = 0;
  }

  /** Whether a chunk needs no copy: the last block has no place for it, and it keeps no other memory in use. */
  private mayKeep(chunk: Buffer): boolean {
    return (
      chunk.length >= minKeptBytes &&
      chunk.length === chunk.buffer.byteLength &&
      chunk.length > this.last.length - this.lastUsed
    );
  }

  private addBlock(block: Buffer): void {
    this.trimLast();
    this.blocks.push(block);
    this.last = block;
    this.lastUsed = 0;
    this.allocated += block.length;
  }

  /** Cuts the unused end off the last block; its memory is still counted. */
  private trimLast(): void {
    if (this.blocks.length > 0) {
      this.blocks[this.blocks.length - 1] = this.last.subarray(
        0,
        this.lastUsed,
      );
    }
  }
}

/** Creates a block with memory of its own: a part of Node's pool would keep the whole pool in use. */
const createBlock = (collectedBytes: number, neededBytes: number): Buffer => {
  const grown = Math.max(minBlockBytes, collectedBytes);
  const size = Math.max(neededBytes, Math.min(maxBlockBytes, grown));
  return Buffer.allocUnsafeSlow(size);
};
