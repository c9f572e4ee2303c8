/** Intervals and bounds of metering. */

export const copyIntervalMilliseconds = 2_000
/** Maximum number of counts of other incarnations that a VM holds, summed over all accounts. */
export const heldCountsCapacity = 50_000
/** Maximum number of dropped accounts whose ids a VM keeps, in order to report the gap. */
export const droppedAccountsCapacity = 100
