/**
 * Least-squares linear regression of measured points.
 */

export interface Point {
  readonly x: number
  readonly y: number
}

export interface LinearFit {
  readonly slope: number
  readonly intercept: number
  /** Coefficient of determination: share of the variance that the line explains, 0 to 1. */
  readonly rSquared: number
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

export const fitLine = (points: readonly Point[]): LinearFit => {
  const meanX = mean(points.map(({ x }) => x))
  const meanY = mean(points.map(({ y }) => y))
  const covariance = mean(points.map(({ x, y }) => (x - meanX) * (y - meanY)))
  const varianceX = mean(points.map(({ x }) => (x - meanX) ** 2))
  const varianceY = mean(points.map(({ y }) => (y - meanY) ** 2))
  const slope = varianceX === 0 ? 0 : covariance / varianceX
  const rSquared = varianceX === 0 || varianceY === 0 ? 1 : covariance ** 2 / (varianceX * varianceY)
  return { slope, intercept: meanY - slope * meanX, rSquared }
}

export const valueAt = (fit: LinearFit, x: number): number => fit.intercept + fit.slope * x
