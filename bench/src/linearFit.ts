/** A straight line through measured points, by least squares. */

export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
}

/** Fits a line; a slope of 0 where all points share one x. */
export const computeLinearFit = (points: readonly Point[]): LinearFit => {
  const count = Math.max(1, points.length);
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
  const spread = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const shared = points.reduce(
    (sum, { x, y }) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const slope = spread === 0 ? 0 : shared / spread;
  return { slope, intercept: meanY - slope * meanX };
};
