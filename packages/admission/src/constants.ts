/** Bounds of the admission queues, and their defaults. */

/** Number of teams whose first request is tried before the pool counts as blocked. */
export const maximumHeadsTried = 4
/** Once this many pools exist, those without requests are deleted before another is created. */
export const poolPruningThreshold = 64
export const minimumRetryAfterMilliseconds = 1_000
export const maximumRetryAfterMilliseconds = 60_000
/** Half-life of the measured dispatch rate. */
export const dispatchRateHalfLifeMilliseconds = 5_000
/** Time with waiting requests before the measured dispatch rate is used. */
export const dispatchRateWarmupMilliseconds = 2_000

export const defaultFairQueueBounds = {
  capacityRequests: 2_000,
  capacityTokens: 8_000_000,
  teamShare: 0.5,
  interactiveHeadStartTokens: 20_000,
  agingMilliseconds: 5_000,
  deadlineSlack: 1.5
} as const
