/**
 * Replay protection for forward proofs: each nonce is accepted at most once. A
 * nonce is evicted only after its proof has expired. A wall clock that is set
 * back could make an evicted proof look valid again. The latest acceptance
 * limit among evicted proofs is therefore kept, and proofs whose limit is not
 * later are rejected. At capacity, new proofs are rejected.
 */

import { clockSkewAllowanceMilliseconds, forwardProofLifetimeMilliseconds } from './constants.js'

export const ProofAdmission = { Accepted: 'accepted', Replayed: 'replayed', Expired: 'expired', Full: 'full' } as const
export type ProofAdmission = typeof ProofAdmission[keyof typeof ProofAdmission]

export class ReplayCache {
  /**
   * Acceptance limit of each proof (its expiry plus the clock skew allowance),
   * by nonce in order of arrival; milliseconds since the Unix epoch.
   */
  private readonly seen = new Map<string, number>()
  /** Latest acceptance limit among the evicted proofs. */
  private latestEvictedLimit = 0

  constructor (private readonly capacity: number) {}

  get size (): number {
    return this.seen.size
  }

  /** Accepts a nonce if it is new and its proof has not expired; times are milliseconds since the Unix epoch. */
  admit (nonce: string, expiresAt: number, now: number): ProofAdmission {
    const acceptanceLimit = expiresAt + clockSkewAllowanceMilliseconds
    if (this.seen.has(nonce)) return ProofAdmission.Replayed
    if (acceptanceLimit < now || acceptanceLimit <= this.latestEvictedLimit) return ProofAdmission.Expired
    if (expiresAt > now + forwardProofLifetimeMilliseconds + clockSkewAllowanceMilliseconds) return ProofAdmission.Expired
    this.evictExpired(now)
    if (this.seen.size >= this.capacity) return ProofAdmission.Full
    this.seen.set(nonce, acceptanceLimit)
    return ProofAdmission.Accepted
  }

  private evictExpired (now: number): void {
    for (const [nonce, acceptanceLimit] of this.seen) {
      if (acceptanceLimit >= now) return
      this.seen.delete(nonce)
      this.latestEvictedLimit = Math.max(this.latestEvictedLimit, acceptanceLimit)
    }
  }
}
