/**
 * Listeners that hand the events of an attempt's call to the execution together
 * with the attempt, since several attempts of a request may be under way.
 */

import type { Refusal } from '@cuminvale/common'
import type { AnswerFailureKind } from './answerSink.js'
import type { AnswerFraming } from './answerFraming.js'
import type { Attempt, ForwardAttempt, LocalAttempt } from './attempts.js'
import type { CallFailure } from './errors.js'
import type { ForwardCallListener } from './forwardCall.js'
import type { ForwardedHead } from './forwardFrames.js'
import type { UpstreamCallListener } from './upstreamCall.js'

type RawHeaders = Readonly<Record<string, string | string[] | undefined>>

export interface AttemptHandler {
  onHead (attempt: LocalAttempt, status: number, headers: RawHeaders): void
  onForwardedHead (attempt: ForwardAttempt, head: ForwardedHead): void
  onForwardedRefusal (attempt: ForwardAttempt, refusal: Refusal): void
  onForwardedFailure (attempt: ForwardAttempt, kind: AnswerFailureKind, detail: string): void
  /** False if the caller can't take more for now. */
  onData (attempt: Attempt, chunk: Buffer): boolean
  /** False if the answer is incomplete in spite of its framing. */
  onEnd (attempt: Attempt, framing: AnswerFraming): boolean
  onFailure (attempt: Attempt, failure: CallFailure): void
}

abstract class AttemptListener<SomeAttempt extends Attempt> {
  private startedAttempt: SomeAttempt | undefined

  constructor (protected readonly handler: AttemptHandler) {}

  /** Set once the call, which needs its listener first, is part of an attempt; calls have no events before they are sent. */
  set attempt (attempt: SomeAttempt) {
    this.startedAttempt = attempt
  }

  get attempt (): SomeAttempt {
    if (this.startedAttempt === undefined) throw new Error('the call has an event before its attempt has started')
    return this.startedAttempt
  }

  onData (chunk: Buffer): boolean {
    return this.handler.onData(this.attempt, chunk)
  }

  onEnd (framing: AnswerFraming): boolean {
    return this.handler.onEnd(this.attempt, framing)
  }

  onFailure (failure: CallFailure): void {
    this.handler.onFailure(this.attempt, failure)
  }
}

export class LocalAttemptListener extends AttemptListener<LocalAttempt> implements UpstreamCallListener {
  onHead (status: number, headers: RawHeaders): void {
    this.handler.onHead(this.attempt, status, headers)
  }
}

export class ForwardAttemptListener extends AttemptListener<ForwardAttempt> implements ForwardCallListener {
  onForwardedHead (head: ForwardedHead): void {
    this.handler.onForwardedHead(this.attempt, head)
  }

  onForwardedRefusal (refusal: Refusal): void {
    this.handler.onForwardedRefusal(this.attempt, refusal)
  }

  onForwardedFailure (kind: AnswerFailureKind, detail: string): void {
    this.handler.onForwardedFailure(this.attempt, kind, detail)
  }
}
