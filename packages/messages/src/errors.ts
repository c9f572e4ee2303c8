/**
 * Errors of the message layer.
 */

export class CodecError extends Error {
  constructor (detail: string) {
    super(`cannot decode peer message: ${detail}`)
    this.name = 'CodecError'
  }
}
