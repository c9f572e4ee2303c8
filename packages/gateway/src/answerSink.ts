/**
 * Destination of an answer in the gateway process: the connection of the
 * caller, or frames to the VM that forwarded the request.
 */

import type { Refusal } from '@cuminvale/common'
import type { SoftwareVersion } from '@cuminvale/serving'

export const AnswerFailureKind = {
  /** The attempt failed; the request may have run. */
  UpstreamBroke: 'upstream-broke',
  /** The deadline passed; the request may have run. */
  TimedOut: 'timed-out'
} as const
export type AnswerFailureKind = typeof AnswerFailureKind[keyof typeof AnswerFailureKind]

export interface AnswerSink {
  /** A software version is that of the upstream of this region that answers. */
  head (status: number, headers: readonly string[], softwareVersion?: SoftwareVersion): void
  /** False if the destination can't take more until its response emits `drain`. */
  data (chunk: Buffer): boolean
  end (): void
  /** Answers that the request has not run and never will. */
  refuse (refusal: Refusal): void
  /** Answers that the request failed and may have run; only before `head`. */
  fail (kind: AnswerFailureKind, detail: string): void
  /** Closes the connection, so that an answer that was begun is seen to be incomplete. */
  abort (): void
}
