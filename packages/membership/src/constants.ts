/** Intervals and bounds of failure detection. */

export const membershipTickMilliseconds = 250
export const pingIntervalMilliseconds = 1_000
/** A pinged VM that has not acknowledged for this long is suspected. */
export const silenceMilliseconds = 3_000
/** Time that a suspected VM has to refute the suspicion, by any path. */
export const suspicionMilliseconds = 2_000
/** A listed VM that nothing is heard of for this long is held not to have started. */
export const firstContactMilliseconds = 5_000
/** With silence and suspicion within the bound below, when a VM stops just after it refuted a first suspicion. */
export const firstResuspectMilliseconds = 2_500
export const maximumResuspectMilliseconds = 160_000
export const digestIntervalMilliseconds = 1_000
export const regionReportIntervalMilliseconds = 2_000
export const regionReportLifetimeMilliseconds = 6_000
/** Ticks further apart than this, on either clock, mean that the process was paused. */
export const pauseGapMilliseconds = 1_500
/** An incarnation older than this that meets a newer one of its name has been replaced. */
export const incarnationSettledMilliseconds = 30_000
/** VMs of its region that each VM pings. */
export const regionTargets = 4
/** Links between each two regions. */
export const linksPerRegionPair = 2
/** Links that each VM chooses to other regions beside those, so that no VM depends on its region alone. */
export const ownRemoteLinks = 2
export const defaultFullMeshVms = 16
export const digestBuckets = 16
/** A VM that has stopped is not held reachable for longer than this. */
export const deadDroppedWithinMilliseconds = 8_000
/** A running VM that can be reached again is not held unreachable for longer than this. */
export const liveRestoredWithinMilliseconds = 8_000
