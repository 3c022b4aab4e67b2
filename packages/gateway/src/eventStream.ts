/**
 * Splits a stream of server-sent events into complete events.
 *
 * Only complete events are forwarded to a caller. If a server fails in the middle
 * of an event, the events of the next server are not appended to the rest of it.
 */

const blankLine = Buffer.from('\n\n');
const idField = Buffer.from('id:');
const lineEnd = 0x0a;

export class EventStream {
  /** Id of the last complete event; absent before the first. */
  lastEventId: string | undefined;
  private partialEvent: Buffer = Buffer.alloc(0);

  /** Whether no partial event is buffered. */
  get isAtBoundary(): boolean {
    return this.partialEvent.length === 0;
  }

  /** Drops a partial event before another server continues the stream. */
  restart(): void {
    this.partialEvent = Buffer.alloc(0);
  }

  /** Adds received bytes and returns the completed events that the caller does not have yet. */
  accept(chunk: Buffer): Buffer {
    const bytes =
      this.partialEvent.length === 0
        ? chunk
        : Buffer.concat([this.partialEvent, chunk]);
    const newEvents: Buffer[] = [];
    let from = 0;
    for (
      let end = bytes.indexOf(blankLine, from);
      end >= 0;
      end = bytes.indexOf(blankLine, from)
    ) {
      const event = bytes.subarray(from, end + blankLine.length);
      from = end + blankLine.length;
      if (this.acceptEvent(event)) {
        newEvents.push(event);
      }
    }
    this.partialEvent = bytes.subarray(from);
    const [only] = newEvents;
    return newEvents.length === 1 && only ? only : Buffer.concat(newEvents);
  }

  /** Records an event's id; returns `false` if the caller has the event already. */
  private acceptEvent(event: Buffer): boolean {
    const id = readEventId(event);
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

const readEventId = (event: Buffer): string | undefined => {
  let at = 0;
  while (at < event.length) {
    const found = event.indexOf(lineEnd, at);
    const end = found < 0 ? event.length : found;
    if (event.subarray(at, at + idField.length).equals(idField)) {
      return event.toString('latin1', at + idField.length, end).trim();
    }
    at = end + 1;
  }
  return undefined;
};
