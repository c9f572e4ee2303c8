/** Intervals and bounds of metering. */

export const copyIntervalMilliseconds = 2_000
/** Counts of other incarnations that a VM holds, over all of them. */
export const heldCountsCapacity = 50_000
/** Incarnations that a VM remembers to have forgotten the counts of. */
export const droppedAccountsRemembered = 100
