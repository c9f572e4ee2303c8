/**
 * Errors of the platform's services. The HTTP clients convert every transport
 * error into a `PlatformError`.
 */

export const PlatformErrorKind = {
  Unreachable: 'unreachable',
  Timeout: 'timeout',
  /** The answer was not valid JSON or did not match the schema. */
  Malformed: 'malformed',
  /** The platform answered with an error status, or its documents changed during every read attempt. */
  Refused: 'refused'
} as const

export type PlatformErrorKind = typeof PlatformErrorKind[keyof typeof PlatformErrorKind]

export class PlatformError extends Error {
  constructor (readonly kind: PlatformErrorKind, detail: string) {
    super(`${kind}: ${detail}`)
    this.name = 'PlatformError'
  }
}
