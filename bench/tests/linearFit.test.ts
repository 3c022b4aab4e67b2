/** Tests the line fit of the capacity bench. */
import { describe, expect, it } from 'vitest';
import { computeLinearFit } from '../src/linearFit.js';

describe('computeLinearFit', () => {
  it('finds the line through exact points', () => {
    const fit = computeLinearFit([1, 2, 5].map(x => ({ x, y: 3 * x + 7 })));
    expect(fit.slope).toBeCloseTo(3);
    expect(fit.intercept).toBeCloseTo(7);
  });

  it('returns a slope of 0 when all points are equal', () => {
    const point = { x: 2, y: 4 };
    expect(computeLinearFit([point, point])).toEqual({
      slope: 0,
      intercept: 4,
    });
  });
});
