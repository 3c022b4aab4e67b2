/** Open streams of an emulation: tells the forecasts of their events and ends. */
import type { WatchedCall } from '../src/index.js';
import type { ServerSpeed } from './serverSpeed.js';

interface OpenStream {
  readonly watched: WatchedCall;
  readonly openedAt: number;
  readonly endsAt: number;
  events: number;
}

/** Time between two events at the usual speed. */
const eventMs = 50;

export class EmulatedStreams {
  private open: OpenStream[] = [];

  constructor(private readonly speed: ServerSpeed) {}

  add(watched: WatchedCall, openedAt: number, durationMs: number): void {
    const endsAt = this.speed.findEnd(openedAt, durationMs);
    this.open.push({ watched, openedAt, endsAt, events: 0 });
  }

  advance(now: number): void {
    for (const stream of this.open) {
      const { watched, openedAt, endsAt } = stream;
      const until = Math.min(now, endsAt);
      const work = this.speed.measureWork(openedAt, until);
      const count = Math.floor(work / eventMs) - stream.events;
      if (count > 0) {
        stream.events += count;
        watched.noteEvents(count, until);
      }
      if (endsAt <= now) {
        watched.noteEnd(true, endsAt);
      }
    }
    this.open = this.open.filter(({ endsAt }) => endsAt > now);
  }
}
