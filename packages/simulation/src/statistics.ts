/**
 * Percentiles and random variates for measurements.
 */

import type { Random } from '@cuminvale/common'

/** Sample at index floor(n * share) in ascending order, for a share of 0 to 1; 0 if there are none. */
export const percentile = (samples: readonly number[], share: number): number => {
  const sorted = [...samples].sort((first, second) => first - second)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** Exponentially distributed interval, as between two events of a Poisson process, in the unit of the mean. */
export const exponentialVariate = (random: Random, mean: number): number => -mean * Math.log(1 - random.next())
