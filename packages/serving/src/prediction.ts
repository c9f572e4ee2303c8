/**
 * Predicts when an upstream would answer: the first event of an engine, or the
 * whole answer of a plain service. An engine reads prompts one after another; a
 * plain service runs one request per slot.
 */

import type { UpstreamState } from './upstreamState.js'
import type { AdmittedRequest, Service } from './types.js'

/** Prompt tokens that an engine reads per millisecond; UpstreamState.latencyRatio corrects it by observed latencies. */
export const prefillTokensPerMillisecond = 61.8
/** Attention over a long prompt, in milliseconds per million pairs of tokens. */
const attentionMillisecondsPerMillionPairs = 0.367
/** Time of the decoding steps of a full batch until the first event is sent. */
const firstEventMilliseconds = 35
/** Time for which a request holds its slot of an engine; affects predictions only once all slots are taken. */
const engineSlotMilliseconds = 900
/** Mean run time of a plain service's requests, assumed before any was observed. */
export const plainServiceRunMilliseconds = 60

const pairsPerMillion = 1_000_000

/** Milliseconds that an idle engine takes to read a prompt of which all but the unread tokens are cached. */
export const prefillMilliseconds = (promptTokens: number, unreadTokens: number): number =>
  unreadTokens / prefillTokensPerMillisecond +
  unreadTokens * (promptTokens - unreadTokens / 2) / pairsPerMillion * attentionMillisecondsPerMillionPairs

/** Milliseconds until the upstream would start a request that arrived at the time of the call. */
export const predictWait = (upstream: UpstreamState, service: Service | undefined): number => {
  const slots = Math.max(1, upstream.announced.slots)
  const waitingRequests = Math.max(0, upstream.occupancy + 1 - slots)
  if (service?.isEngine !== true) return waitingRequests / slots * plainServiceRunMilliseconds * upstream.latencyRatio
  return (upstream.pendingTokens / prefillTokensPerMillisecond + waitingRequests / slots * engineSlotMilliseconds) * upstream.latencyRatio
}

export interface Prediction {
  /** Time to the first event of an engine, or to the whole answer of a plain service. */
  readonly milliseconds: number
  /** Part of that time that passes before the upstream starts the request. */
  readonly waitMilliseconds: number
  readonly unreadTokens: number
}

export const predict = (upstream: UpstreamState, service: Service | undefined, request: AdmittedRequest): Prediction => {
  const waitMilliseconds = predictWait(upstream, service)
  if (service?.isEngine !== true) {
    return { milliseconds: waitMilliseconds + plainServiceRunMilliseconds * upstream.latencyRatio, waitMilliseconds, unreadTokens: 0 }
  }
  const promptTokens = request.head.tokens?.prompt ?? 0
  const unreadTokens = upstream.unreadTokens(promptTokens, request.head.parts)
  const ownMilliseconds = (prefillMilliseconds(promptTokens, unreadTokens) + firstEventMilliseconds) * upstream.latencyRatio
  return { milliseconds: waitMilliseconds + ownMilliseconds, waitMilliseconds, unreadTokens }
}
