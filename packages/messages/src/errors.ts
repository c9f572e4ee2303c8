/**
 * Errors of the message layer.
 */

export class CodecError extends Error {
  constructor (detail: string) {
    super(`peer message: ${detail}`)
    this.name = 'CodecError'
  }
}
