/** A caller receives each event of a stream whole and once, also when another server continues the stream. */
import fc from 'fast-check';
import { describe, expect, it, vi } from 'vitest';
import { EventStream } from '../src/index.js';

const maxEventBytes = 4_096;

const createStream = (): EventStream => new EventStream(maxEventBytes);

const formatEvent = (id: number): string =>
  `id: ${String(id)}\ndata: text ${String(id)}\n\n`;

const formatEvents = (from: number, to: number): string =>
  Array.from({ length: to - from }, (_, at) => formatEvent(from + at)).join('');

const accept = (stream: EventStream, text: string, now = 0): string =>
  stream.accept(Buffer.from(text), now).unwrap().bytes.toString();

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
    out += accept(stream, text.slice(at, position));
    at = position;
  }
  return out;
};

describe('EventStream', () => {
  it('passes whole events however the bytes are split', () => {
    fc.assert(
      fc.property(fc.array(fc.nat()), splits => {
        const text = formatEvents(1, 9);
        expect(sendParts(createStream(), text, splits)).toBe(text);
      }),
      { seed: 4, numRuns: 200 },
    );
  });

  it('drops a partial event when another server continues the stream', () => {
    const stream = createStream();
    const partial = formatEvents(1, 4) + formatEvent(4).slice(0, 9);
    const first = accept(stream, partial);
    expect(stream.isAtBoundary).toBe(false);
    stream.restart();
    const second = accept(stream, formatEvents(4, 7));
    expect(first + second).toBe(formatEvents(1, 7));
    expect(stream.isAtBoundary).toBe(true);
  });

  it('drops events that the caller already has', () => {
    const stream = createStream();
    accept(stream, formatEvents(1, 5));
    stream.restart();
    const second = accept(stream, formatEvents(3, 7));
    expect(second).toBe(formatEvents(5, 7));
    expect(stream.lastEventId).toBe('6');
  });

  it('refuses an event that does not end within the limit', () => {
    const stream = createStream();
    const chunk = Buffer.alloc(1_024, 'x');
    for (let bytes = 0; bytes < maxEventBytes; bytes += chunk.length) {
      expect(stream.accept(chunk, 0).ok).toBe(true);
    }
    const refused = stream.accept(chunk, 0);
    expect(refused.err && refused.val.kind).toBe('too-large');
    stream.restart();
    expect(stream.bufferedBytes).toBe(0);
  });

  it('copies each byte of a partial event a bounded number of times', () => {
    const copy = vi.spyOn(Buffer.prototype, 'copy');
    const stream = createStream();
    const byte = Buffer.from('x');
    for (let at = 0; at < maxEventBytes; at += 1) {
      stream.accept(byte, 0);
    }
    const copied = copy.mock.results.reduce(
      (sum, result) => sum + Number(result.value),
      0,
    );
    copy.mockRestore();
    expect(copied).toBeGreaterThanOrEqual(maxEventBytes);
    expect(copied).toBeLessThanOrEqual(3 * maxEventBytes);
  });

  it('counts an event as progress, and neither a comment nor a part of an event', () => {
    const stream = createStream();
    const count = (text: string): number =>
      stream.accept(Buffer.from(text), 0).unwrap().newEvents;
    expect(count(formatEvent(1))).toBe(1);
    expect(count(': still alive\n\n')).toBe(0);
    expect(count('id: 2\n')).toBe(0);
    expect(count('\n')).toBe(1);
    expect(count(formatEvent(2))).toBe(0);
  });

  it('tells since when a partial event has been waiting for its end', () => {
    const stream = createStream();
    accept(stream, formatEvent(1), 10);
    expect(stream.partialSince).toBeUndefined();
    accept(stream, 'id: ', 20);
    accept(stream, '2', 30);
    expect(stream.partialSince).toBe(20);
    accept(stream, '\n\nid: 3', 40);
    expect(stream.partialSince).toBe(40);
    accept(stream, '\n\n', 50);
    expect(stream.partialSince).toBeUndefined();
  });
});
