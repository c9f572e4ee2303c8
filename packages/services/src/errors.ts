/**
 * Errors of the platform layer. Adapters turn every transport error into one.
 */

export const PlatformErrorKind = {
  Unreachable: 'unreachable',
  Timeout: 'timeout',
  /** The platform answered with something that its protocol does not allow. */
  Malformed: 'malformed',
  /** The platform refused the call. */
  Refused: 'refused'
} as const

export type PlatformErrorKind = typeof PlatformErrorKind[keyof typeof PlatformErrorKind]

export class PlatformError extends Error {
  constructor (readonly kind: PlatformErrorKind, detail: string) {
    super(`${kind}: ${detail}`)
    this.name = 'PlatformError'
  }
}
