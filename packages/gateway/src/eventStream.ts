/**
 * Cuts a stream of server-sent events into whole events.
 *
 * Only whole events go to a caller, so that a server that breaks off in the
 * middle of one leaves nothing behind that another server's events would join.
 */

const blankLine = Buffer.from('\n\n');
const idField = Buffer.from('id:');
const lineEnd = 0x0a;

export class EventStream {
  /** Id of the last whole event; absent before the first. */
  lastEventId: string | undefined;
  private rest: Buffer = Buffer.alloc(0);

  /** Whether nothing of an unfinished event is held. */
  get isAtBoundary(): boolean {
    return this.rest.length === 0;
  }

  /** Starts over at another server, after the last whole event. */
  restart(): void {
    this.rest = Buffer.alloc(0);
  }

  /** Takes bytes and returns the whole events that are new. */
  accept(chunk: Buffer): Buffer {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const fresh: Buffer[] = [];
    let from = 0;
    for (
      let end = bytes.indexOf(blankLine, from);
      end >= 0;
      end = bytes.indexOf(blankLine, from)
    ) {
      const event = bytes.subarray(from, end + blankLine.length);
      from = end + blankLine.length;
      if (this.noteEvent(event)) {
        fresh.push(event);
      }
    }
    this.rest = bytes.subarray(from);
    const [only] = fresh;
    return fresh.length === 1 && only ? only : Buffer.concat(fresh);
  }

  /** Notes an event's id; `false` when the caller has the event already. */
  private noteEvent(event: Buffer): boolean {
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
