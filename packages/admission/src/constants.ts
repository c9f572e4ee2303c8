/** Bounds of the admission queues, and their defaults. */

/** Team heads tried in a pool before the pool counts as blocked. */
export const maximumHeadsTried = 4
/** Pools kept before those without requests are forgotten. */
export const maximumPools = 64
export const minimumRetryAfterMilliseconds = 1_000
export const maximumRetryAfterMilliseconds = 60_000
/** Half-life of the measured dispatch rate. */
export const dispatchRateHalfLifeMilliseconds = 5_000
/** Backlogged time before a measured dispatch rate is trusted. */
export const dispatchRateWarmupMilliseconds = 2_000

export const defaultFairQueueBounds = {
  capacityRequests: 2_000,
  capacityTokens: 8_000_000,
  teamShare: 0.5,
  interactiveHeadStartTokens: 20_000,
  agingMilliseconds: 5_000,
  deadlineSlack: 1.5
} as const
