/**
 * Errors of the key layer.
 */

export class ForwardProofError extends Error {
  /** `isReplay` means that the same forward was accepted before. */
  constructor (detail: string, readonly isReplay = false) {
    super(`forward proof: ${detail}`)
    this.name = 'ForwardProofError'
  }
}
