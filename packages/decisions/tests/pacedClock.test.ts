/** The paced clock measures streams by their events: lifetimes at different loads are the same. */
import { describe, expect, it } from 'vitest';
import { PacedClock } from '../src/gateway/pacedClock.js';

/** Runs streams that get an event at each step of time, and reads the clock at the end. */
const runStreams = (
  clock: PacedClock,
  streams: number,
  stepMs: number,
  steps: number,
): number => {
  for (let index = 0; index < streams; index += 1) {
    clock.noteOpened(0);
  }
  for (let step = 1; step <= steps; step += 1) {
    clock.noteEvents(streams, step * stepMs);
  }
  return clock.read(steps * stepMs);
};

describe('a paced clock', () => {
  it('shows the time while there are no events', () => {
    const clock = new PacedClock();
    clock.noteOpened(100);
    clock.noteEnded(900);
    expect(clock.read(12_345)).toBe(12_345);
    expect(clock.measureSpeed(12_345)).toBe(1);
  });

  it('advances as far for the same events, however long they take', () => {
    const steps = 200;
    const measure = (stepMs: number): number => {
      const clock = new PacedClock();
      return runStreams(clock, 7, stepMs, steps) - stepMs;
    };
    expect(measure(80)).toBeCloseTo(measure(50));
  });

  it('halves its speed when each event takes twice the time', () => {
    const [usual, slow] = [new PacedClock(), new PacedClock()];
    runStreams(usual, 7, 50, 400);
    runStreams(slow, 7, 100, 400);
    expect(usual.measureSpeed(20_000)).toBeCloseTo(1, 1);
    expect(slow.measureSpeed(40_000)).toBeCloseTo(0.5, 1);
  });

  it('slows down while all streams are silent', () => {
    const clock = new PacedClock();
    runStreams(clock, 7, 50, 400);
    const before = clock.measureSpeed(20_000);
    expect(clock.measureSpeed(21_000)).toBeLessThan(before * 0.9);
    expect(clock.read(21_000)).toBe(clock.read(20_000));
  });

  it('keeps its speed when no stream is open', () => {
    const clock = new PacedClock();
    runStreams(clock, 1, 100, 200);
    clock.noteEnded(20_000);
    const before = clock.measureSpeed(20_000);
    expect(clock.measureSpeed(40_000)).toBeCloseTo(before);
  });
});
