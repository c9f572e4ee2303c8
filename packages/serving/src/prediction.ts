/**
 * Predicts when an upstream would answer: the first event of an engine, or the
 * whole answer of a plain service. An engine reads prompts one after another; a
 * plain service runs one request per slot.
 */

import type { UpstreamBelief } from './upstreamBelief.js'
import type { AdmittedRequest, ServiceShape } from './types.js'

/** Prompt tokens that an engine reads per millisecond; UpstreamState.latencyRatio corrects it by observed latencies. */
export const prefillTokensPerMillisecond = 61.8
/** Attention over a long prompt, in milliseconds per million pairs of tokens. */
const pairMillisecondsPerMillion = 0.367
/** Time of the decoding steps of a full batch until the first event is sent. */
const firstEventMilliseconds = 35
/** Time for which a request holds its slot of an engine; affects predictions only once all slots are taken. */
const engineStayMilliseconds = 900
/** Mean run time of a plain service's requests, assumed before any was observed. */
export const plainRunMilliseconds = 60

const pairsPerMillion = 1_000_000

/** Milliseconds that an idle engine takes to read a prompt of which all but the unread tokens are cached. */
export const prefillMilliseconds = (promptTokens: number, unreadTokens: number): number =>
  unreadTokens / prefillTokensPerMillisecond +
  unreadTokens * (promptTokens - unreadTokens / 2) / pairsPerMillion * pairMillisecondsPerMillion

/** Milliseconds until the upstream would start a request that arrived at the time of the call. */
export const predictWait = (belief: UpstreamBelief, shape: ServiceShape | undefined): number => {
  const slots = Math.max(1, belief.announced.slots)
  const excess = Math.max(0, belief.occupancy + 1 - slots)
  if (shape?.isEngine !== true) return excess / slots * plainRunMilliseconds * belief.slowness
  return (belief.pendingTokens / prefillTokensPerMillisecond + excess / slots * engineStayMilliseconds) * belief.slowness
}

export interface Prediction {
  /** Time to the first event of an engine, or to the whole answer of a plain service. */
  readonly milliseconds: number
  /** Part of that time that passes before the upstream starts the request. */
  readonly waitMilliseconds: number
  readonly unreadTokens: number
}

export const predict = (belief: UpstreamBelief, shape: ServiceShape | undefined, request: AdmittedRequest): Prediction => {
  const waitMilliseconds = predictWait(belief, shape)
  if (shape?.isEngine !== true) {
    return { milliseconds: waitMilliseconds + plainRunMilliseconds * belief.slowness, waitMilliseconds, unreadTokens: 0 }
  }
  const promptTokens = request.head.tokens?.prompt ?? 0
  const unreadTokens = belief.unreadTokens(promptTokens, request.head.parts)
  const own = (prefillMilliseconds(promptTokens, unreadTokens) + firstEventMilliseconds) * belief.slowness
  return { milliseconds: waitMilliseconds + own, waitMilliseconds, unreadTokens }
}
