/**
 * Receives the body of one caller's request, within the limits.
 *
 * A body that is too large, or finds no room beside those of other calls, is refused as
 * early as this is known; what still arrives of it is read and dropped.
 */
import type { IncomingMessage } from 'node:http';
import { ByteCollector, type ValueOf } from '@lycheetally/common';

/** Why a body is not received. */
export const BodyRefusal = {
  TooLarge: 'too-large',
  NoRoom: 'no-room',
} as const;
export type BodyRefusal = ValueOf<typeof BodyRefusal>;

/** Limits of one body, and who receives it. */
export interface BodyOptions {
  /** Returns the largest limit that held since the head arrived. */
  getMaxBytes(): number;
  /** Whether there is room for a body that takes that much memory, in bytes. */
  hasRoom(bytes: number): boolean;
  /** Notes how much memory the body takes, in bytes. */
  noteMemory(bytes: number): void;
  handleBody(body: Buffer): void;
  handleRefusal(refusal: BodyRefusal): void;
}

export class BodyReader {
  private readonly body = new ByteCollector();
  private isDropped = false;

  constructor(
    readonly incoming: IncomingMessage,
    private readonly options: BodyOptions,
  ) {}

  start(): void {
    const { incoming, options } = this;
    this.check(Number(incoming.headers['content-length'] ?? 0));
    incoming.on('data', (chunk: Buffer) => {
      if (!this.isDropped) {
        this.append(chunk);
      }
    });
    incoming.on('end', () => {
      if (!this.isDropped) {
        const body = this.body.take();
        options.noteMemory(body.length);
        options.handleBody(body);
      }
    });
    // The response's 'close' event reports a caller that disconnected.
    incoming.on('error', () => undefined);
  }

  /** Reads on without keeping what arrives. */
  drop(): void {
    this.isDropped = true;
    this.body.clear();
    this.options.noteMemory(0);
  }

  private append(chunk: Buffer): void {
    this.body.append(chunk);
    this.check(this.body.length, this.body.memoryBytes);
    if (!this.isDropped) {
      this.options.noteMemory(this.body.memoryBytes);
    }
  }

  /** Refuses a body of that many bytes if it does not fit. */
  private check(bytes: number, memoryBytes = bytes): void {
    if (bytes > this.options.getMaxBytes()) {
      this.refuse(BodyRefusal.TooLarge);
    } else if (!this.options.hasRoom(memoryBytes)) {
      this.refuse(BodyRefusal.NoRoom);
    }
  }

  private refuse(refusal: BodyRefusal): void {
    this.drop();
    this.options.handleRefusal(refusal);
  }
}
