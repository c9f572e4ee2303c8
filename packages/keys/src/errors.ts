/**
 * Errors of the key layer.
 */

export class ForwardProofError extends Error {
  constructor (detail: string) {
    super(`forward proof: ${detail}`)
    this.name = 'ForwardProofError'
  }
}
