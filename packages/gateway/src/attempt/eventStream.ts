/**
 * Splits a stream of server-sent events into complete events.
 *
 * Only complete events are forwarded to a caller. If a server fails in the middle
 * of an event, the events of the next server are not appended to the rest of it.
 * An event that does not end within the limit is refused, since a server may
 * send bytes without end.
 */
import {
  ByteCollector,
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';

const blankLine = Buffer.from('\n\n');
const idField = Buffer.from('id:');
const lineEnd = 0x0a;
const commentStart = 0x3a;

/** What received bytes completed. */
export interface EventBatch {
  /** Complete events that the caller does not have yet, and comments. */
  readonly bytes: Buffer;
  /** Number of the events among them, without comments. */
  readonly newEvents: number;
  /** Id of the first of them that has one. */
  readonly firstEventId: string | undefined;
}

export class EventStream {
  /** Id of the last complete event; absent before the first. */
  lastEventId: string | undefined;
  /** When the first byte of the buffered partial event was received. */
  partialSince: Milliseconds | undefined;
  private readonly partialEvent = new ByteCollector();

  /** @param maxEventBytes Largest partial event that is buffered, in bytes. */
  constructor(private readonly maxEventBytes: number) {}

  /** Whether no partial event is buffered. */
  get isAtBoundary(): boolean {
    return this.partialEvent.length === 0;
  }

  /** Memory that the partial event takes, in bytes. */
  get bufferedBytes(): number {
    return this.partialEvent.memoryBytes;
  }

  /** Creates the stream of another run, which continues after the last complete event. */
  createNext(): EventStream {
    const next = new EventStream(this.maxEventBytes);
    next.lastEventId = this.lastEventId;
    return next;
  }

  /** Drops a partial event before another server continues the stream. */
  restart(): void {
    this.partialEvent.clear();
    this.partialSince = undefined;
  }

  /**
   * Adds received bytes and returns the completed events that the caller does not
   * have yet. Fails with `TooLarge` if an event does not end within the limit.
   */
  accept(chunk: Buffer, now: Milliseconds): Result<EventBatch> {
    const complete: Buffer[] = [];
    let newEvents = 0;
    let firstEventId: string | undefined;
    let from = 0;
    for (
      let end = this.findFirstEnd(chunk);
      end >= 0;
      end = findEventEnd(chunk, from)
    ) {
      const event = this.takeEvent(chunk.subarray(from, end));
      from = end;
      const { id, isComment } = readEvent(event);
      if (this.isNew(id)) {
        complete.push(event);
        newEvents += isComment ? 0 : 1;
        firstEventId ??= id;
      }
    }
    this.keepPartialEvent(chunk.subarray(from), now);
    return this.partialEvent.length > this.maxEventBytes
      ? Err(createOversizeError(this.maxEventBytes))
      : Ok({ bytes: joinBuffers(complete), newEvents, firstEventId });
  }

  /** Finds the end of the event that the buffered bytes begin. */
  private findFirstEnd(chunk: Buffer): number {
    const endsWithLine = this.partialEvent.lastByte === lineEnd;
    return endsWithLine && chunk[0] === lineEnd ? 1 : findEventEnd(chunk, 0);
  }

  /** Returns the event that ends with these bytes. */
  private takeEvent(bytes: Buffer): Buffer {
    if (this.isAtBoundary) {
      return bytes;
    }
    this.partialEvent.append(bytes);
    const event = this.partialEvent.take();
    this.restart();
    return event;
  }

  private keepPartialEvent(bytes: Buffer, now: Milliseconds): void {
    if (bytes.length > 0) {
      this.partialSince ??= now;
      this.partialEvent.append(bytes);
    }
  }

  /** Records an event's id; returns `false` if the caller has the event already. */
  private isNew(id: string | undefined): boolean {
    if (id === undefined) {
      return true;
    }
    if (
      this.lastEventId !== undefined &&
      Number(id) <= Number(this.lastEventId)
    ) {
      return false;
    }
    this.lastEventId = id;
    return true;
  }
}

/** Returns the position after the next blank line, or -1. */
const findEventEnd = (chunk: Buffer, from: number): number => {
  const found = chunk.indexOf(blankLine, from);
  return found < 0 ? -1 : found + blankLine.length;
};

interface EventFields {
  readonly id: string | undefined;
  /** Whether the event has no field, as those have that keep a connection open. */
  readonly isComment: boolean;
}

const readEvent = (event: Buffer): EventFields => {
  let isComment = true;
  for (let at = 0; at < event.length;) {
    const found = event.indexOf(lineEnd, at);
    const end = found < 0 ? event.length : found;
    if (event.subarray(at, at + idField.length).equals(idField)) {
      const id = event.toString('latin1', at + idField.length, end).trim();
      return { id, isComment: false };
    }
    isComment &&= end === at || event[at] === commentStart;
    at = end + 1;
  }
  return { id: undefined, isComment };
};

const joinBuffers = (buffers: readonly Buffer[]): Buffer => {
  const [first] = buffers;
  return buffers.length === 1 && first ? first : Buffer.concat(buffers);
};

const createOversizeError = (maxEventBytes: number): TypedError =>
  new TypedError(
    ErrorKind.TooLarge,
    `an event of the stream does not end within ${String(maxEventBytes)} bytes`,
    'check what the server sends',
  );
