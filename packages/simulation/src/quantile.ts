/**
 * Nearest-rank quantiles of measured values.
 */

/** Smallest value that is at least as large as the given share (0 to 1) of the values; 0 if there are none. */
export const quantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((first, second) => first - second)
  const index = Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1)
  return sorted[Math.max(0, index)] ?? 0
}
