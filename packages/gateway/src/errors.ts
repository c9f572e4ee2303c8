/**
 * Errors of the gateway's edges.
 */

export const SourceErrorKind = {
  /** No answer in time, or no connection. */
  Unreachable: 'unreachable',
  /** The source refused the call; nothing was done. */
  Refused: 'refused',
  /** The source no longer holds the history that was asked for. */
  Forgotten: 'forgotten',
  /** An answer that can't be read. */
  Malformed: 'malformed'
} as const
export type SourceErrorKind = typeof SourceErrorKind[keyof typeof SourceErrorKind]

export class SourceError extends Error {
  override readonly name = 'SourceError'

  constructor (readonly kind: SourceErrorKind, message: string) {
    super(message)
  }
}

export const CallFailureKind = {
  /** No connection was made, so that nothing was sent. */
  NotSent: 'not-sent',
  /** The connection broke after the request was sent. */
  Broken: 'broken'
} as const
export type CallFailureKind = typeof CallFailureKind[keyof typeof CallFailureKind]

export class CallFailure extends Error {
  override readonly name = 'CallFailure'

  constructor (readonly kind: CallFailureKind, message: string) {
    super(message)
  }
}
