/**
 * Attempts of one request execution: to an upstream of this region, or to a VM
 * of another one. The functions keep the counts of running work in step.
 */

import { RefusalReason, refuse } from '@cuminvale/common'
import { RequestKind } from '@cuminvale/serving'
import { declinedRetryAfterMilliseconds, maximumStreamSilenceMilliseconds, minimumStreamSilenceMilliseconds, predictionTimeoutFactor, requestSilenceTimeoutMilliseconds, streamSilenceObjectives, upstreamSilenceTimeoutMilliseconds } from './constants.js'
import type { Refusal, RegionId, VmId } from '@cuminvale/common'
import type { CountedSend, Prediction, RegionForecasts, RequestTokens, Route, ServiceName, SoftwareVersion, UpstreamState } from '@cuminvale/serving'
import type { ForwardCall } from './forwardCall.js'
import type { GatewayState } from './gatewayState.js'
import type { UpstreamCall } from './upstreamCall.js'

export interface LocalAttempt {
  readonly kind: 'local'
  readonly call: UpstreamCall
  readonly upstream: UpstreamState
  readonly prediction: Prediction
  /** Predicted time to the first answer. */
  readonly predictedMilliseconds: number
  /** Predicted time to the end of the answer. */
  readonly wholeMilliseconds: number
  readonly sentAt: number
  readonly tokens: RequestTokens | undefined
  readonly send: CountedSend
  /** Monotonic time of its first answer; undefined until then. */
  answeredAt: number | undefined
  /** Whether reading was paused, so that the time of the output is that of its caller. */
  wasPaused: boolean
  /** Prompt tokens that the upstream still has to read; 0 after its first answer. */
  pendingTokens: number
  isAnswered: boolean
  /** The upstream is silent, but no retry was allowed, so that the attempt keeps waiting until more of the answer comes. */
  isRetryDenied: boolean
}

export interface ForwardAttempt {
  readonly kind: 'forward'
  readonly call: ForwardCall
  readonly region: RegionId
  readonly vm: VmId
  /** Number of upstream attempts that the other VM may make. They count as used even if the other VM is never heard again. */
  readonly granted: number
  /** Predicted work that the request adds to the region. */
  readonly workMilliseconds: number
  /** Predicted time to the end of the answer. */
  readonly wholeMilliseconds: number
  readonly sentAt: number
  /** Monotonic time by which the answer was predicted to come, or by which it is on time if that is later. */
  readonly dueAt: number
  /** Software version of the upstream that answers there; undefined until it answers, or if it isn't known for certain. */
  softwareVersion: SoftwareVersion | undefined
  isAnswered: boolean
  /** The other VM is silent, but no retry was allowed, so that the attempt keeps waiting. */
  isRetryDenied: boolean
}

export type Attempt = LocalAttempt | ForwardAttempt

export interface LocalAttemptOptions {
  readonly call: UpstreamCall
  readonly upstream: UpstreamState
  readonly prediction: Prediction
  readonly wholeMilliseconds: number
  readonly sentAt: number
  /** Undefined if the request names no tokens, or produces only the rest of its output. */
  readonly tokens: RequestTokens | undefined
}

/** Counts the request as running at the upstream. */
export const startLocalAttempt = ({ call, upstream, prediction, wholeMilliseconds, sentAt, tokens }: LocalAttemptOptions): LocalAttempt => {
  upstream.ownInFlight += 1
  upstream.ownPendingTokens += prediction.unreadTokens
  const send = upstream.reserveSend(prediction.unreadTokens)
  upstream.performance.service.recordSend(tokens)
  return {
    kind: 'local', call, upstream, prediction, predictedMilliseconds: prediction.milliseconds, wholeMilliseconds, sentAt, tokens, send, answeredAt: undefined, wasPaused: false, pendingTokens: prediction.unreadTokens, isAnswered: false, isRetryDenied: false
  }
}

/** Records an answer; the first one shows that the upstream has read the prompt. */
export const recordLocalAnswer = (attempt: LocalAttempt, now: number): void => {
  attempt.upstream.lastAnswerAt = now
  if (attempt.isAnswered) return
  attempt.isAnswered = true
  attempt.upstream.ownPendingTokens -= attempt.pendingTokens
  attempt.pendingTokens = 0
  attempt.answeredAt = now
}

/** Records a part of an answer, and whether its caller took it at once. */
export const recordData = (attempt: Attempt, now: number, { isTaken }: { readonly isTaken: boolean }): void => {
  if (attempt.kind !== 'local') return
  attempt.upstream.lastAnswerAt = now
  if (!isTaken) attempt.wasPaused = true
}

/** Records the time of a complete answer, and that of its output unless its caller read it slowly. */
export const recordEnd = (attempt: Attempt, route: Route, { clock, answerDurations }: GatewayState): void => {
  const now = clock.monotonic()
  answerDurations.record(route, attempt.wholeMilliseconds, now - attempt.sentAt)
  if (attempt.kind !== 'local' || attempt.answeredAt === undefined || attempt.wasPaused) return
  attempt.upstream.performance.recordOutput(attempt.tokens, now - attempt.answeredAt)
}

/** Removes a forwarded request from the region's pending work, after its first answer or when none will come. */
export const removeForwardedWork = (attempt: ForwardAttempt, forecasts: RegionForecasts, service: ServiceName): void => {
  if (attempt.isAnswered) return
  attempt.isAnswered = true
  forecasts.answered(attempt.region, service, attempt.workMilliseconds)
}

/** Removes the request from the counts of the upstream. */
export const endLocalAttempt = ({ upstream, pendingTokens, send }: LocalAttempt): void => {
  if (send.at === Infinity) send.at = -Infinity
  upstream.ownInFlight -= 1
  upstream.ownPendingTokens -= pendingTokens
}

const streamSilenceMilliseconds = (objectiveMilliseconds: number): number =>
  Math.min(maximumStreamSilenceMilliseconds, Math.max(minimumStreamSilenceMilliseconds, objectiveMilliseconds * streamSilenceObjectives))

/** Why the target of an attempt counts as silent; undefined if it doesn't. */
export const silenceOf = (attempt: Attempt, { kind, objectiveMilliseconds }: Route, lastDataAt: number, now: number): string | undefined => {
  if (attempt.kind === 'forward') return attempt.call.isReceiptOverdue(now) ? 'no sign of receipt from the VM that the request was forwarded to' : undefined
  // The head of the answer is no progress here, but counts as an answer of the upstream.
  const lastProgressAt = Math.max(attempt.sentAt, lastDataAt)
  const silentMilliseconds = now - lastProgressAt
  const streamTimeoutMilliseconds = kind === RequestKind.Stream ? streamSilenceMilliseconds(objectiveMilliseconds) : undefined
  if (attempt.upstream.lastAnswerAt <= lastProgressAt) {
    const timeoutMilliseconds = streamTimeoutMilliseconds ?? upstreamSilenceTimeoutMilliseconds
    return silentMilliseconds > timeoutMilliseconds + attempt.predictedMilliseconds ? 'no answers from the upstream' : undefined
  }
  const timeoutMilliseconds = Math.max(streamTimeoutMilliseconds ?? requestSilenceTimeoutMilliseconds, attempt.predictedMilliseconds * predictionTimeoutFactor)
  return silentMilliseconds > timeoutMilliseconds ? 'the upstream answers other requests but not this one' : undefined
}

/** The upstream or VM of an attempt, for the log. */
export const targetOf = (attempt: Attempt): string => attempt.kind === 'local' ? attempt.upstream.announced.id : `${attempt.region}:${attempt.vm}`

/** Refusal of a request that its upstream declined, if it is sent nowhere else. */
export const declinedRefusal = ({ upstreams, settings: { region } }: GatewayState, { upstream: { announced: { id, service } } }: LocalAttempt, status: number): Refusal =>
  refuse(RefusalReason.NoUpstream, `upstream ${id} declined with ${status}`, { retryAfterMilliseconds: Math.max(declinedRetryAfterMilliseconds, upstreams.pauseMilliseconds(service, region)) })
