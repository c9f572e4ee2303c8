/**
 * Predicts when an upstream would answer: the first event of an engine, which
 * reads prompts one after another, or the whole answer of a plain service,
 * which runs one request a slot.
 */

import type { UpstreamBelief } from './upstreamBelief.js'
import type { AdmittedRequest, ServiceShape } from './types.js'

/** Prompt tokens that an engine reads in a millisecond; the users' sheet, corrected by what is seen. */
export const prefillTokensPerMillisecond = 61.8
/** Attention over a long prompt: milliseconds for a million pairs of tokens; measured on the users' bench. */
const pairMillisecondsPerMillion = 0.367
/** Steps of a full batch until the first event is out; measured on the users' bench. */
const firstEventMilliseconds = 35
/** Time that an engine request holds its slot; only counts once all slots are taken. */
const engineStayMilliseconds = 900
/** Mean run time of plain requests before any was seen. */
export const plainRunMilliseconds = 60

const pairsPerMillion = 1_000_000

/** Milliseconds an idle engine takes to read a prompt of which some tokens are cached. */
export const prefillMilliseconds = (promptTokens: number, unreadTokens: number): number =>
  unreadTokens / prefillTokensPerMillisecond +
  unreadTokens * (promptTokens - unreadTokens / 2) / pairsPerMillion * pairMillisecondsPerMillion

/** Milliseconds until the upstream would begin with a request that arrives now. */
export const predictWait = (belief: UpstreamBelief, shape: ServiceShape | undefined): number => {
  const slots = Math.max(1, belief.announced.slots)
  const excess = Math.max(0, belief.occupancy + 1 - slots)
  if (shape?.isEngine !== true) return excess / slots * plainRunMilliseconds * belief.slowness
  return (belief.pendingTokens / prefillTokensPerMillisecond + excess / slots * engineStayMilliseconds) * belief.slowness
}

export interface Prediction {
  /** To the first event, or the whole answer of a plain service. */
  readonly milliseconds: number
  /** Of these, the time until the upstream begins. */
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
