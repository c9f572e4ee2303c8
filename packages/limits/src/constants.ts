/** Times and shares of the fleet-wide limits. */

/** Time for which a recognition or a VM list that names the VM lets it spend its share. */
export const evidenceMilliseconds = 1_500
export const helloMilliseconds = 400
/** Longest a loan lasts without renewal. */
export const loanMilliseconds = 1_500
/** Loans are prolonged when less than this is left of them. */
export const renewalMilliseconds = 800
export const escrowTickMilliseconds = 20
/** Largest difference in the rates of two VMs' clocks. */
export const clockDriftShare = 0.002
/** Default bound on how old the VM list's content may be. */
export const defaultListLagMilliseconds = 2_000
/** The wall clock gaining this much on the monotonic one between two calls means a suspension. */
export const suspensionMilliseconds = 100
/** A region's share may rise only after every reachable VM has the revision that lowers another's. */
export const shareRaiseMilliseconds = 13_000
/** Part of its own share that a VM never lends. */
export const reserveShare = 0.03
/** Pauses between questions to peers for one team: at first, with requests waiting, and at most. */
export const shortestAskMilliseconds = 40
export const awaitedAskMilliseconds = 80
export const longestAskMilliseconds = 320
/** Span over which demand is averaged. */
export const demandMilliseconds = 500
/** Longest a request waits for a loan. */
export const loanWaitMilliseconds = 300
/** After waiting in vain, requests of the team are refused at once for this long. */
export const dryMilliseconds = 100
export const maximumWaiters = 64
export const longestRetryAfterMilliseconds = 60_000
/** Rounding error allowed in sums of shares. */
export const shareTolerance = 1e-9

/** A span after which the given one is over on every clock, an unnoticed suspension included. */
export const withDrift = (milliseconds: number): number =>
  milliseconds * (1 + 2 * clockDriftShare) + suspensionMilliseconds

/** The longest span whose `withDrift` is within the given one. */
export const withoutDrift = (milliseconds: number): number =>
  (milliseconds - suspensionMilliseconds) / (1 + 2 * clockDriftShare)
