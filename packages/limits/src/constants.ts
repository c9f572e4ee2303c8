/** Durations, ratios and bounds of the fleet-wide rate limits. */

/** How long a VM list that names the VM, or a recognition by its peers, lets it use its share, from the time of asking. */
export const shareLeaseMilliseconds = 1_500
export const helloIntervalMilliseconds = 400
/** Longest a loan lasts without renewal. */
export const maximumLoanMilliseconds = 1_500
/** Loans that end within this time are renewed if still needed, otherwise returned. */
export const loanRenewalThresholdMilliseconds = 800
export const escrowTickMilliseconds = 20
/** Largest relative difference between the clock rates of two VMs. */
export const maximumClockDriftRatio = 0.002
/** Default bound on the age of the VM list's content. */
export const defaultListLagMilliseconds = 2_000
/** If the wall clock gains more than this on the monotonic clock between two reads, the VM counts as suspended. */
export const suspensionThresholdMilliseconds = 100
/** A region's share may increase only after every reachable VM has the revision that decreases another region's share. */
export const shareIncreaseDelayMilliseconds = 13_000
/** Part of its own share that a VM never lends. */
export const minimumUnlentRatio = 0.03
/** Backoff between borrow requests for one team: initial, maximum while requests wait, and maximum otherwise. */
export const initialBorrowBackoffMilliseconds = 40
export const maximumBorrowBackoffWithWaitersMilliseconds = 80
export const maximumBorrowBackoffMilliseconds = 320
/** Time constant of the exponentially decaying demand average. */
export const demandTimeConstantMilliseconds = 500
/** Longest a request waits for a loan, or for the answer of an owner VM. */
export const maximumLoanWaitMilliseconds = 300
/** After a wait has timed out, requests of the team that lack tokens are refused without waiting for this long. */
export const loanWaitCooldownMilliseconds = 100
export const maximumWaitersPerTeam = 64
export const maximumRetryAfterMilliseconds = 60_000
/** Rounding error allowed in sums of shares. */
export const shareTolerance = 1e-9

/** Duration after which the given one has passed on the clock of every VM, even one with an undetected suspension. */
export const withClockMargin = (milliseconds: number): number =>
  milliseconds * (1 + 2 * maximumClockDriftRatio) + suspensionThresholdMilliseconds

/** Longest duration whose `withClockMargin` is within the given one. */
export const withoutClockMargin = (milliseconds: number): number =>
  (milliseconds - suspensionThresholdMilliseconds) / (1 + 2 * maximumClockDriftRatio)
