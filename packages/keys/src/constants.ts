/** Sizes, lifetimes and limits of caller keys and forward proofs. */

export const callerKeyPrefix = 'cmv_'
export const callerKeyRandomBytes = 32
export const forwardProofLifetimeMilliseconds = 5_000
export const clockSkewAllowanceMilliseconds = 2_000
export const replayCacheCapacityProofs = 50_000
