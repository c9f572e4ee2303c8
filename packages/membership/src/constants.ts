/** Intervals and bounds of failure detection. */

export const membershipTickMilliseconds = 250
export const pingIntervalMilliseconds = 1_000
/** A VM that has acknowledged no ping for this long is suspected. */
export const pingTimeoutMilliseconds = 3_000
/** Time that a suspected VM has to refute the suspicion, over any path. */
export const refutationTimeoutMilliseconds = 2_000
/** A listed VM of which no record arrives within this time is considered not started. */
export const firstContactTimeoutMilliseconds = 5_000
/**
 * Interval between the first two suspicions of a VM. Added to the ping and refutation timeouts it stays within the stop
 * detection bound, also for a VM that stops just after it refuted the first suspicion.
 */
export const firstSuspicionIntervalMilliseconds = 2_500
export const longestSuspicionIntervalMilliseconds = 160_000
export const digestIntervalMilliseconds = 1_000
export const regionReportIntervalMilliseconds = 2_000
export const regionReportLifetimeMilliseconds = 6_000
/** A longer gap between two ticks, on either clock, means that the process was paused. */
export const pauseGapMilliseconds = 1_500
/**
 * A process that has run for longer than this is replaced when it learns of another incarnation of its VM whose
 * generation is not lower. A younger process raises its own generation above the other's.
 */
export const incarnationSettledMilliseconds = 30_000
/** Number of VMs of its own region that each VM pings. */
export const regionPingTargetCount = 4
/** Number of links that join each pair of regions. */
export const linksPerRegionPair = 2
/** Further links that each VM chooses to other regions, so that no VM depends on its own region alone. */
export const chosenRemoteLinksPerVm = 2
/** Up to this fleet size every VM links to every other. */
export const defaultFullMeshVmLimit = 16
export const digestBucketCount = 16
/** Longest time for which a VM that has stopped is still considered reachable. */
export const stopDetectionBoundMilliseconds = 8_000
/** Longest time for which a running VM that can be reached again is still considered unreachable. */
export const recoveryDetectionBoundMilliseconds = 8_000
