/**
 * Reads the frames of a forwarded answer. A frame that can't be read, or that
 * comes out of turn, is none: data without a head would reach the caller as a
 * success.
 */

import { validateHeaderName, validateHeaderValue } from 'node:http'
import { RefusalReason, isAnswerStatus } from '@cuminvale/common'
import { AnswerFailureKind } from './answerSink.js'
import { FrameKind, decodePackedContent } from './forwardFrames.js'
import type { Refusal } from '@cuminvale/common'
import type { AttemptId } from '@cuminvale/serving'
import type { Frame, ForwardedFailure, ForwardedHead } from './forwardFrames.js'

export type AnswerFrame =
  | { readonly kind: typeof FrameKind.Received | typeof FrameKind.Data | typeof FrameKind.End }
  | { readonly kind: typeof FrameKind.Head, readonly head: ForwardedHead }
  | { readonly kind: typeof FrameKind.Refused, readonly refusal: Refusal }
  | { readonly kind: typeof FrameKind.Failed, readonly failure: ForwardedFailure }

type Unchecked<Value> = { readonly [Key in keyof Value]?: unknown } | null

const failureKinds: readonly unknown[] = Object.values(AnswerFailureKind)
const refusalReasons: readonly unknown[] = Object.values(RefusalReason)

export interface ExpectedAnswer {
  /** Attempt of the request that was forwarded. */
  readonly attempt: AttemptId | undefined
  /** Whether the head of its answer was read. */
  readonly isAnswered: boolean
}

/** Undefined for a frame that is malformed, out of turn, or of the answer to another request. */
export const readAnswerFrame = (frame: Frame, expected: ExpectedAnswer): AnswerFrame | undefined => {
  try {
    return readFrame(frame, expected)
  } catch {
    return undefined
  }
}

const readFrame = (frame: Frame, { attempt, isAnswered }: ExpectedAnswer): AnswerFrame | undefined => {
  switch (frame.kind) {
    case FrameKind.Received:
      // VMs of an earlier version name no attempt.
      return frame.content.length === 0 || frame.content.toString() === attempt ? { kind: FrameKind.Received } : undefined
    case FrameKind.Data:
    case FrameKind.End:
      return isAnswered ? { kind: frame.kind } : undefined
    case FrameKind.Head: {
      const head = decodePackedContent<Unchecked<ForwardedHead>>(frame)
      return !isAnswered && isHead(head) ? { kind: FrameKind.Head, head } : undefined
    }
    case FrameKind.Refused: {
      const refusal = decodePackedContent<Unchecked<Refusal>>(frame)
      return !isAnswered && isRefusal(refusal) ? { kind: FrameKind.Refused, refusal: toKnownRefusal(refusal) } : undefined
    }
    case FrameKind.Failed: {
      const failure = decodePackedContent<Unchecked<ForwardedFailure>>(frame)
      return isFailure(failure) ? { kind: FrameKind.Failed, failure } : undefined
    }
    default:
      return undefined
  }
}

const isHead = (value: Unchecked<ForwardedHead>): value is ForwardedHead => {
  if (!isAnswerStatus(value?.status as number)) return false
  const headers = value?.headers
  if (!Array.isArray(headers) || headers.length % 2 !== 0 || !headers.every((text) => typeof text === 'string')) return false
  headers.forEach((text: string, index) => {
    if (index % 2 === 0) validateHeaderName(text)
    else validateHeaderValue(headers[index - 1] as string, text)
  })
  return true
}

const isRefusal = (value: Unchecked<Refusal>): value is Refusal =>
  typeof value?.reason === 'string' && typeof value.detail === 'string' && (value.retryAfterMilliseconds == null || typeof value.retryAfterMilliseconds === 'number')

/** Reads a reason of a newer build as one that says nothing of the region's capacity; the request has not run all the same. */
const toKnownRefusal = (refusal: Refusal): Refusal => refusalReasons.includes(refusal.reason) ? refusal : { ...refusal, reason: RefusalReason.NotReady }

const isFailure = (value: Unchecked<ForwardedFailure>): value is ForwardedFailure => failureKinds.includes(value?.kind) && typeof value?.detail === 'string'
