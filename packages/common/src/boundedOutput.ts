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
const maxBufferedBytes = 512 * 1_024;

/** Rate limit of the output. */
const maxLinesPerSecond = 400;

/** Longest time that the last lines may take to be written, in milliseconds. */
const maxFlushMs = 200;

export class BoundedOutput extends Writable {
  private readonly file: WriteStream;
  private linesInWindow = 0;
  private droppedLines = 0;
  private windowStartedAt = 0;

  /** Opens the output on a file descriptor, such as 1 for standard output. */
  constructor(descriptor: number) {
    super({ decodeStrings: false });
    this.file = createWriteStream('', { fd: descriptor, autoClose: false });
    this.file.on('error', () => {
      this.droppedLines += 1;
    });
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- overrides Node's Writable._write
  override _write(
    line: string,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    this.updateWindow(Date.now());
    const isOverLimit =
      this.linesInWindow >= maxLinesPerSecond ||
      this.file.writableLength > maxBufferedBytes;
    if (isOverLimit) {
      this.droppedLines += 1;
    } else {
      this.linesInWindow += 1;
      this.file.write(line);
    }
    callback();
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- overrides Node's Writable._final
  override _final(callback: () => void): void {
    let isFinished = false;
    const finish = (): void => {
      clearTimeout(timeout);
      if (!isFinished) {
        isFinished = true;
        callback();
      }
    };
    const timeout = setTimeout(finish, maxFlushMs);
    this.file.end(finish);
  }

  private updateWindow(now: number): void {
    if (Math.abs(now - this.windowStartedAt) < millisecondsPerSecond) {
      return;
    }
    this.windowStartedAt = now;
    this.linesInWindow = 0;
    if (this.droppedLines > 0) {
      const line = {
        message: 'Log lines were dropped.',
        count: this.droppedLines,
      };
      this.file.write(`${JSON.stringify(line)}\n`);
      this.droppedLines = 0;
    }
  }
}
