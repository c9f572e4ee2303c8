/**
 * The sends of one execution: to an upstream of this region, or to another VM,
 * and what they mean for the work that this VM believes under way.
 */

import type { RegionId } from '@cuminvale/common'
import type { Prediction, RegionForecasts, ServiceName, UpstreamBelief } from '@cuminvale/serving'
import type { ForwardCall } from './forwardCall.js'
import type { UpstreamCall } from './upstreamCall.js'

export interface LocalAttempt {
  readonly kind: 'local'
  readonly call: UpstreamCall
  readonly belief: UpstreamBelief
  readonly predictedMilliseconds: number
  readonly sentAt: number
  pendingTokens: number
  isAnswered: boolean
  /** Silent, but nothing allows another send. */
  isLeftWaiting: boolean
}

export interface ForwardAttempt {
  readonly kind: 'forward'
  readonly call: ForwardCall
  readonly region: RegionId
  /** Upstreams that the other VM may send it to; it may use them although it is not heard. */
  readonly granted: number
  readonly workMilliseconds: number
  readonly sentAt: number
  isAnswered: boolean
  /** Silent, but nothing allows another send. */
  isLeftWaiting: boolean
}

export type Attempt = LocalAttempt | ForwardAttempt

export interface LocalStart {
  readonly call: UpstreamCall
  readonly belief: UpstreamBelief
  readonly prediction: Prediction
  readonly sentAt: number
}

/** Puts a send to an upstream on the books. */
export const startLocal = ({ call, belief, prediction, sentAt }: LocalStart): LocalAttempt => {
  belief.ownInFlight += 1
  belief.ownPendingTokens += prediction.unreadTokens
  belief.noteSent(prediction.unreadTokens)
  return {
    kind: 'local', call, belief, predictedMilliseconds: prediction.milliseconds, sentAt, pendingTokens: prediction.unreadTokens, isAnswered: false, isLeftWaiting: false
  }
}

/** Notes an upstream's first answer: it has read the prompt. */
export const noteAnswered = (attempt: LocalAttempt, now: number): void => {
  attempt.belief.lastAnswerAt = now
  if (attempt.isAnswered) return
  attempt.isAnswered = true
  attempt.belief.ownPendingTokens -= attempt.pendingTokens
  attempt.pendingTokens = 0
  attempt.belief.observed(now - attempt.sentAt, attempt.predictedMilliseconds)
}

/** Notes another region's first answer, or that none will come. */
export const noteForwardAnswered = (attempt: ForwardAttempt, forecasts: RegionForecasts, service: ServiceName): void => {
  if (attempt.isAnswered) return
  attempt.isAnswered = true
  forecasts.answered(attempt.region, service, attempt.workMilliseconds)
}

/** Takes a send to an upstream off the books. */
export const settleLocal = ({ belief, pendingTokens }: LocalAttempt): void => {
  belief.ownInFlight -= 1
  belief.ownPendingTokens -= pendingTokens
}
