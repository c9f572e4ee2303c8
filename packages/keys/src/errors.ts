/**
 * Errors of forward proofs.
 */

export class ForwardProofError extends Error {
  /** `isReplay`: this VM accepted a proof with the same nonce before, so the request may have run. */
  constructor (detail: string, readonly isReplay = false) {
    super(`forward proof: ${detail}`)
    this.name = 'ForwardProofError'
  }
}
