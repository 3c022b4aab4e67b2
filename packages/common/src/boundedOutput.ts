/**
 * Writes log lines without ever waiting for the reader.
 *
 * Lines wait in a bounded buffer while the file descriptor is slow; what does
 * not fit, or exceeds the rate, is dropped and counted in a line of its own.
 */
import { createWriteStream, type WriteStream } from 'node:fs';
import { Writable } from 'node:stream';
import { millisecondsPerSecond } from './constants.js';

/** The most bytes that wait for the reader. */
const maxWaitingBytes = 512 * 1_024;

/** The most lines that are written in a second. */
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

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name for it
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
