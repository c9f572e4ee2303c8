/**
 * Where the answer to a request goes: to the caller's connection, or in
 * frames to the VM that forwarded it.
 */

import type { Refusal } from '@cuminvale/common'

export const FailureKind = {
  /** The upstream broke off; the request may have run. */
  UpstreamBroke: 'upstream-broke',
  /** The time was over; the request may have run. */
  TimedOut: 'timed-out'
} as const
export type FailureKind = typeof FailureKind[keyof typeof FailureKind]

export interface AnswerSink {
  head (status: number, headers: readonly string[]): void
  /** False where no more can be taken until `onDrain` is called. */
  data (chunk: Buffer): boolean
  end (): void
  /** The request has not run, and never will. */
  refuse (refusal: Refusal): void
  /** No answer was begun, and the request may have run. */
  fail (kind: FailureKind, detail: string): void
  /** An answer was begun that can't be completed. */
  breakOff (): void
}
