/** Linear regression by least squares. */

export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
}

/** Fits a line through the points; the slope is 0 if all points have the same x. */
export const computeLinearFit = (points: readonly Point[]): LinearFit => {
  const count = Math.max(1, points.length);
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
  const sumOfSquares = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const sumOfProducts = points.reduce(
    (sum, { x, y }) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const slope = sumOfSquares === 0 ? 0 : sumOfProducts / sumOfSquares;
  return { slope, intercept: meanY - slope * meanX };
};
