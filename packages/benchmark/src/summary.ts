/**
 * Sums and percentiles over the results of load processes and rounds.
 */

import type { LoadResult } from './types.js'

const millisecondsPerSecond = 1_000

/** Complete responses per second, summed over load processes that ran concurrently. */
export const completedPerSecond = (results: readonly LoadResult[]): number =>
  results.reduce((sum, { completed, elapsedMilliseconds }) => sum + completed * millisecondsPerSecond / elapsedMilliseconds, 0)

export const failedCount = (results: readonly LoadResult[]): number =>
  results.reduce((sum, { failed }) => sum + failed, 0)

/** Nearest-rank percentile; NaN if there are no samples. */
export const percentile = (samples: readonly number[], rank: number): number => {
  const sorted = [...samples].sort((first, second) => first - second)
  return sorted[Math.max(0, Math.ceil(rank * sorted.length) - 1)] ?? NaN
}

export const median = (samples: readonly number[]): number => percentile(samples, 0.5)
