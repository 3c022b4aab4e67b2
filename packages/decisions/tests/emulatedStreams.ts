/** Open streams of an emulation: tells the forecasts of their ends. */
import type { NoteEnd } from '../src/index.js';
import type { ServerSpeed } from './serverSpeed.js';

interface OpenStream {
  readonly noteEnd: NoteEnd;
  readonly endsAt: number;
}

export class EmulatedStreams {
  private open: OpenStream[] = [];

  constructor(private readonly speed: ServerSpeed) {}

  add(noteEnd: NoteEnd, openedAt: number, durationMs: number): void {
    const endsAt = this.speed.findEnd(openedAt, durationMs);
    this.open.push({ noteEnd, endsAt });
  }

  advance(now: number): void {
    for (const { noteEnd, endsAt } of this.open) {
      if (endsAt <= now) {
        noteEnd(true, endsAt);
      }
    }
    this.open = this.open.filter(({ endsAt }) => endsAt > now);
  }
}
