/**
 * Percentiles and random variates for measurements.
 */

import type { Random } from '@cuminvale/common'

/** Value below which the share of the samples lies; 0 where there are none. */
export const percentile = (samples: readonly number[], share: number): number => {
  const sorted = [...samples].sort((first, second) => first - second)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** Time to the next event of a Poisson process. */
export const exponential = (random: Random, mean: number): number => -mean * Math.log(1 - random.next())
