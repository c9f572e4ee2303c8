/**
 * Remembers the proofs that were accepted, so that each is accepted once. A
 * proof is forgotten only when its expiry alone refuses it, also after the
 * wall clock has been set back. Full means that new proofs are refused.
 */

import { clockSkewAllowanceMilliseconds, forwardProofLifetimeMilliseconds } from './constants.js'

export const ProofAdmission = { Accepted: 'accepted', Replayed: 'replayed', Expired: 'expired', Full: 'full' } as const
export type ProofAdmission = typeof ProofAdmission[keyof typeof ProofAdmission]

export class SeenProofs {
  /** Last acceptable time of each proof, by nonce, in order of arrival. */
  private readonly seen = new Map<string, number>()
  /** Latest end of acceptance among forgotten proofs. */
  private forgottenUntil = 0

  constructor (private readonly capacity: number) {}

  get size (): number {
    return this.seen.size
  }

  /** Accepts a proof once; times are milliseconds since the Unix epoch. */
  admit (nonce: string, expiresAt: number, now: number): ProofAdmission {
    const acceptedUntil = expiresAt + clockSkewAllowanceMilliseconds
    if (this.seen.has(nonce)) return ProofAdmission.Replayed
    if (acceptedUntil < now || acceptedUntil <= this.forgottenUntil) return ProofAdmission.Expired
    if (expiresAt > now + forwardProofLifetimeMilliseconds + clockSkewAllowanceMilliseconds) return ProofAdmission.Expired
    this.forgetExpired(now)
    if (this.seen.size >= this.capacity) return ProofAdmission.Full
    this.seen.set(nonce, acceptedUntil)
    return ProofAdmission.Accepted
  }

  private forgetExpired (now: number): void {
    for (const [nonce, acceptedUntil] of this.seen) {
      if (acceptedUntil >= now) return
      this.seen.delete(nonce)
      this.forgottenUntil = Math.max(this.forgottenUntil, acceptedUntil)
    }
  }
}
