/**
 * Quantiles of measured values.
 */

/** The smallest value that at least the given share of the values does not exceed; 0 where there are none. */
export const quantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((first, second) => first - second)
  const index = Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1)
  return sorted[Math.max(0, index)] ?? 0
}
