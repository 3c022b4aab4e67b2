/**
 * A log output that never blocks on a slow reader.
 *
 * Lines are buffered up to a limit. Lines above that limit, or above the rate
 * limit, are dropped, and a separate line reports how many.
 */
import { createWriteStream, type WriteStream } from 'node:fs';
import { Writable } from 'node:stream';
import { millisecondsPerSecond } from './constants.js';

/** Maximum number of bytes buffered for the reader. */
const maxWaitingBytes = 512 * 1_024;

/** Rate limit of the output. */
const maxLinesPerSecond = 400;

export class BoundedOutput extends Writable {
  private readonly file: WriteStream;
  private lines = 0;
  private dropped = 0;
  private secondBegan = 0;

  /** Opens the output on a file descriptor, such as 1 for standard output. */
  constructor(descriptor: number) {
    super({ decodeStrings: false });
    this.file = createWriteStream('', { fd: descriptor, autoClose: false });
    this.file.on('error', () => {
      this.dropped += 1;
    });
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- overrides Node's Writable._write
  override _write(
    line: string,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    this.startSecond(Date.now());
    const isTooMuch =
      this.lines >= maxLinesPerSecond ||
      this.file.writableLength > maxWaitingBytes;
    if (isTooMuch) {
      this.dropped += 1;
    } else {
      this.lines += 1;
      this.file.write(line);
    }
    callback();
  }

  private startSecond(now: number): void {
    if (Math.abs(now - this.secondBegan) < millisecondsPerSecond) {
      return;
    }
    this.secondBegan = now;
    this.lines = 0;
    if (this.dropped > 0) {
      const line = { message: 'Log lines were dropped.', count: this.dropped };
      this.file.write(`${JSON.stringify(line)}\n`);
      this.dropped = 0;
    }
  }
}
