/**
 * Errors of the gateway process in calls to the record source, to upstreams
 * and to other VMs.
 */

export const SourceErrorKind = {
  /** No connection, or no answer within the timeout. */
  Unreachable: 'unreachable',
  /** The source refused the call without effect. */
  Refused: 'refused',
  /** The source no longer holds the changes after the requested revision. */
  HistoryDropped: 'forgotten',
  /** The answer could not be parsed. */
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
  /** No connection could be made, so nothing was sent. */
  NotSent: 'not-sent',
  /** Nothing was sent, since the upstream was found to take no more once a connection was open. */
  Withheld: 'withheld',
  /** Nothing was sent, since the request can't be written in HTTP. */
  Unwritable: 'unwritable',
  /** The connection broke after the request was sent. */
  Broken: 'broken'
} as const
export type CallFailureKind = typeof CallFailureKind[keyof typeof CallFailureKind]

export class CallFailure extends Error {
  override readonly name = 'CallFailure'

  constructor (readonly kind: CallFailureKind, message: string) {
    super(message)
  }

  /** Whether no connection could be made. */
  get isUnsent (): boolean {
    return this.kind === CallFailureKind.NotSent
  }
}

/** Text of an error that was caught, for the log. */
export const describeError = (error: unknown): string => error instanceof Error ? error.stack ?? error.message : String(error)
