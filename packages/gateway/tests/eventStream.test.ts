/** A caller receives each event of a stream whole and once, also when another server continues the stream. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EventStream } from '../src/index.js';

const formatEvent = (id: number): string =>
  `id: ${String(id)}\ndata: text ${String(id)}\n\n`;

const formatEvents = (from: number, to: number): string =>
  Array.from({ length: to - from }, (_, at) => formatEvent(from + at)).join('');

/** Splits the text at the given places and passes the parts to the stream. */
const sendParts = (
  stream: EventStream,
  text: string,
  splits: readonly number[],
): string => {
  const positions = [...splits.map(split => split % text.length), text.length];
  let at = 0;
  let out = '';
  for (const position of positions.sort((a, b) => a - b)) {
    out += stream.accept(Buffer.from(text.slice(at, position))).toString();
    at = position;
  }
  return out;
};

describe('EventStream', () => {
  it('passes whole events however the bytes are split', () => {
    fc.assert(
      fc.property(fc.array(fc.nat()), splits => {
        const text = formatEvents(1, 9);
        expect(sendParts(new EventStream(), text, splits)).toBe(text);
      }),
      { seed: 4, numRuns: 200 },
    );
  });

  it('drops a partial event when another server continues the stream', () => {
    const stream = new EventStream();
    const partial = formatEvents(1, 4) + formatEvent(4).slice(0, 9);
    const first = stream.accept(Buffer.from(partial)).toString();
    expect(stream.isAtBoundary).toBe(false);
    stream.restart();
    const second = stream.accept(Buffer.from(formatEvents(4, 7))).toString();
    expect(first + second).toBe(formatEvents(1, 7));
    expect(stream.isAtBoundary).toBe(true);
  });

  it('drops events that the caller already has', () => {
    const stream = new EventStream();
    stream.accept(Buffer.from(formatEvents(1, 5)));
    stream.restart();
    const second = stream.accept(Buffer.from(formatEvents(3, 7))).toString();
    expect(second).toBe(formatEvents(5, 7));
    expect(stream.lastEventId).toBe('6');
  });
});
