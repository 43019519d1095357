/** Linear regression by least squares. */

/** `y = intercept + slope · x`. */
export interface LinearFit {
  readonly slope: number
  readonly intercept: number
  /** Standard error of the slope. */
  readonly slopeError: number
  /** Largest absolute residual, in the unit of y. */
  readonly largestResidual: number
  /** Coefficient of determination, 0 to 1. */
  readonly rSquared: number
}

export interface Point {
  readonly x: number
  readonly y: number
}

/** Fits a line to at least three points, not all with the same x. */
export function fitLine(points: readonly Point[]): LinearFit {
  const count = points.length
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count
  const sumXX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const sumXY = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const sumYY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0)
  const slope = sumXY / sumXX
  const intercept = meanY - slope * meanX
  const residuals = points.map(({ x, y }) => y - intercept - slope * x)
  const residualSumOfSquares = residuals.reduce((sum, residual) => sum + residual ** 2, 0)
  return {
    slope,
    intercept,
    slopeError: Math.sqrt(residualSumOfSquares / Math.max(1, count - 2) / sumXX),
    largestResidual: Math.max(...residuals.map(Math.abs)),
    rSquared: sumYY === 0 ? 1 : 1 - residualSumOfSquares / sumYY,
  }
}
