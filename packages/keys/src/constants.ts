/** Sizes, lifetimes and limits of caller keys and forward proofs. */

export const keyPrefix = 'cmv_'
export const keyRandomBytes = 32
export const forwardProofLifetimeMilliseconds = 5_000
export const clockSkewAllowanceMilliseconds = 2_000
export const seenProofCapacity = 50_000
