/** The events of a soak's streams, each of which names the run that wrote it. */

export interface SoakEvent {
  readonly eventId: number;
  /** Mark of the run that wrote it. */
  readonly mark: string;
}

/** What a stream's caller has. */
export interface ReceivedEvents {
  /** The events up to the first text that is none of the stream's. */
  readonly events: readonly SoakEvent[];
  /** Whether every text that ends as an event does is one of the stream's. */
  readonly isReadable: boolean;
  /** What follows the last event that ended. */
  readonly rest: string;
}

/** Formats one event of a stream as the server writes it. */
export const formatSoakEvent = (
  requestId: string,
  eventId: number,
  mark: string,
): string => `${formatStart(requestId, eventId)}${mark}\n\n`;

const formatStart = (requestId: string, eventId: number): string =>
  `id: ${String(eventId)}\ndata: ${requestId}-${String(eventId)} by `;

export const parseSoakEvents = (
  requestId: string,
  answer: string,
): ReceivedEvents => {
  const texts = answer.split('\n\n');
  const rest = texts.pop() ?? '';
  const events = texts.map(text => parseEvent(requestId, text));
  const known = events.filter(event => event !== undefined);
  return {
    events: known,
    isReadable: known.length === events.length,
    rest,
  };
};

const parseEvent = (requestId: string, text: string): SoakEvent | undefined => {
  const eventId = Number(/^id: (\d+)\n/.exec(text)?.[1]);
  const start = formatStart(requestId, eventId);
  return text.startsWith(start)
    ? { eventId, mark: text.slice(start.length) }
    : undefined;
};

/** Whether the text begins that event, as far as it goes. */
export const isEventStart = (
  text: string,
  requestId: string,
  eventId: number,
): boolean => {
  const start = formatStart(requestId, eventId);
  return start.startsWith(text) || text.startsWith(start);
};
