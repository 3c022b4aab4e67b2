/** What is taken for trouble of a whole fleet, in the collapse and in ordinary losses. */
import { describe, expect, it } from 'vitest';
import {
  FleetTrouble,
  isFleetWide,
  isSilenceShared,
  troubleMomentMs,
} from '../src/index.js';

/** Servers of deployment A that hold layers. */
const total = 58;

describe('hedges', () => {
  // Guards against second runs that make an overload worse: 140 in a second while 34 servers were silent.
  it('do not start in the second of the collapse', () => {
    const started = Array.from({ length: 140 }, () => ({
      total,
      troubled: 34,
    })).filter(view => !isSilenceShared(view));
    expect(started.length).toBe(0);
  });

  it.each([
    { total, troubled: 1 },
    { total, troubled: 20 },
    { total: 4, troubled: 1 },
    { total: 2, troubled: 2 },
    { total: 3, troubled: 2 },
  ])('start at $troubled silent servers of $total', view => {
    expect(isSilenceShared(view)).toBe(false);
  });
});

describe('the trouble of a fleet', () => {
  it.each([
    { total, troubled: 34, isWide: true },
    { total, troubled: 20, isWide: true },
    { total, troubled: 2, isWide: false },
    { total, troubled: 10, isWide: false },
    { total: 4, troubled: 4, isWide: false },
    { total: 8, troubled: 5, isWide: true },
  ])(
    'is that of $troubled of $total servers: $isWide',
    ({ isWide, ...view }) => {
      expect(isFleetWide(view)).toBe(isWide);
    },
  );

  it('covers losses shortly before and after it only', () => {
    const trouble = new FleetTrouble();
    trouble.note({ total, troubled: 2 }, 5_000);
    expect(trouble.matches(5_000)).toBe(false);
    trouble.note({ total, troubled: 30 }, 10_000);
    trouble.note({ total, troubled: 30 }, 11_000);
    expect(trouble.matches(10_001 - troubleMomentMs)).toBe(true);
    expect(trouble.matches(10_000 - troubleMomentMs)).toBe(false);
    expect(trouble.matches(12_999)).toBe(true);
    expect(trouble.matches(11_000 + troubleMomentMs)).toBe(false);
  });

  it('is remembered within a bound', () => {
    const trouble = new FleetTrouble();
    for (let at = 0; at < 100; at += 1) {
      trouble.note({ total, troubled: 30 }, at * 10_000);
    }
    expect(trouble.matches(0)).toBe(false);
    expect(trouble.matches(990_000)).toBe(true);
  });
});
