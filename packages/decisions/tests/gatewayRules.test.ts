/** Route lookup, the split of calls by weight, and the freshness of keys. */
import { describe, expect, it } from 'vitest';
import {
  RouteTable,
  computeAge,
  isFreshEnough,
  pickService,
  type RouteRule,
} from '../src/index.js';

const createRoute = (pathPrefix: string, weights = [1]): RouteRule => ({
  name: pathPrefix,
  host: 'one.example',
  pathPrefix,
  isRepeatable: false,
  isStream: false,
  isResumable: false,
  isPublic: false,
  timeoutMs: 1_000,
  targetMs: 100,
  urgency: 0,
  maxAttempts: 1,
  shares: weights.map((weight, index) => ({
    service: `s${String(index)}`,
    weight,
  })),
});

describe('RouteTable', () => {
  const table = new RouteTable([createRoute('/a/'), createRoute('/a/b/')]);

  it('finds the longest prefix', () => {
    expect(table.findRoute('one.example', '/a/b/c')?.name).toBe('/a/b/');
    expect(table.findRoute('one.example', '/a/bc')?.name).toBe('/a/');
  });

  it('finds nothing for another host or a path outside', () => {
    expect(table.findRoute('two.example', '/a/')).toBeUndefined();
    expect(table.findRoute('one.example', '/a')).toBeUndefined();
  });
});

describe('pickService', () => {
  it('splits calls by weight and gives a request the same service again', () => {
    const route = createRoute('/a/', [9, 1, 0]);
    const ids = Array.from({ length: 2_000 }, (_, at) => `r${String(at)}`);
    const picked = ids.map(id => pickService(route, id));
    const share = picked.filter(name => name === 's1').length / ids.length;
    expect(share).toBeGreaterThan(0.07);
    expect(share).toBeLessThan(0.13);
    expect(picked).not.toContain('s2');
    expect(ids.map(id => pickService(route, id))).toEqual(picked);
  });
});

describe('isFreshEnough', () => {
  const confirmedAt = { monotonic: 1_000, wallClock: 5_000 };

  it('counts a suspension, which the monotonic clock leaves out', () => {
    const now = { monotonic: 1_010, wallClock: 15_000 };
    expect(computeAge(confirmedAt, now)).toBe(10_000);
    expect(isFreshEnough(confirmedAt, now, 5_000)).toBe(false);
  });

  it('counts monotonic time when the wall clock jumps back', () => {
    const now = { monotonic: 9_000, wallClock: 1_000 };
    expect(isFreshEnough(confirmedAt, now, 5_000)).toBe(false);
  });

  it('leaves a part of the bound for the request to reach its server', () => {
    const now = { monotonic: 5_900, wallClock: 9_900 };
    expect(isFreshEnough(confirmedAt, now, 5_000)).toBe(false);
    expect(isFreshEnough(undefined, now, 5_000)).toBe(false);
  });
});
