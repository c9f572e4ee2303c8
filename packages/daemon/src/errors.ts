/**
 * Errors of the daemon: invalid settings, unusable secret files and failed exchanges with upstreams.
 */

/** One invalid key of the settings file. */
export interface SettingFault {
  readonly file: string
  readonly section: string
  readonly key: string
  readonly read: string
  readonly allowed: string
}

export const formatSettingFault = (fault: SettingFault): string =>
  `${fault.file}: [${fault.section}] ${fault.key}: read ${fault.read}, allowed: ${fault.allowed}`

export class SecretFileError extends Error {
  constructor (file: string, detail: string) {
    super(`${file}: ${detail}`)
    this.name = 'SecretFileError'
  }
}

export const UpstreamErrorKind = {
  /** No byte of the request was sent. */
  NotSent: 'not-sent',
  /** The connection broke after the request was sent. */
  Broken: 'broken',
  /** No data arrived within the timeout; the connection may be dead. */
  Silent: 'silent',
  /** The upstream's answer is longer than allowed. */
  TooLong: 'too-long',
  /** The caller disconnected, or the request's key was withdrawn. */
  Aborted: 'aborted'
} as const

export type UpstreamErrorKind = typeof UpstreamErrorKind[keyof typeof UpstreamErrorKind]

export class UpstreamError extends Error {
  constructor (readonly kind: UpstreamErrorKind, detail: string) {
    super(detail)
    this.name = 'UpstreamError'
  }
}
