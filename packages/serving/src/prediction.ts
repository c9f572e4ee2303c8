/**
 * Predicts when an upstream would answer: the first event of an engine, or the
 * whole answer of a plain service. An engine reads prompts one after another; a
 * plain service runs one request per slot. Unit times are learned; see
 * upstreamPerformance.ts.
 */

import { effectiveTokens, neutralPerformance } from './servicePerformance.js'
import type { ServicePerformance } from './servicePerformance.js'
import type { UnitTimes } from './upstreamPerformance.js'
import type { UpstreamState } from './upstreamState.js'
import type { AdmittedRequest, Service } from './types.js'

/** Prompt tokens that an upstream of a service reads per millisecond, without attention to a context. */
export const prefillTokensPerMillisecond = ({ perTokenMilliseconds }: Pick<ServicePerformance, 'perTokenMilliseconds'> = neutralPerformance): number => 1 / perTokenMilliseconds

/** Milliseconds that an idle engine takes to read a prompt of which all but the unread tokens are cached. */
export const prefillMilliseconds = (performance: ServicePerformance, promptTokens: number, unreadTokens: number): number =>
  performance.readingMilliseconds(promptTokens, unreadTokens)

/** Mean run time of a plain service's requests. */
export const plainServiceRunMilliseconds = ({ fixedMilliseconds }: ServicePerformance): number => fixedMilliseconds

/** Work ahead of a request that arrived now, as far as it is known or estimated. */
const workAhead = (upstream: UpstreamState, { fixedMilliseconds, perTokenMilliseconds, meanSlotMilliseconds }: UnitTimes, isEngine: boolean): number => {
  const slots = Math.max(1, upstream.announced.slots)
  const waitingPerSlot = Math.max(0, upstream.occupancy + 1 - slots) / slots
  return isEngine ? waitingPerSlot * meanSlotMilliseconds + upstream.pendingTokens * perTokenMilliseconds : waitingPerSlot * fixedMilliseconds
}

/** Milliseconds until the upstream would start a request that arrived at the time of the call. */
export const predictWait = (upstream: UpstreamState, service: Service | undefined): number =>
  workAhead(upstream, upstream.performance.times, service?.isEngine === true) * upstream.performance.service.queueFactor

export interface Prediction {
  /** Time to the first event of an engine, or to the whole answer of a plain service. */
  readonly milliseconds: number
  /** Part of that time that passes before the upstream starts the request. */
  readonly waitMilliseconds: number
  /** Estimated work ahead of it, from which the wait is predicted. */
  readonly workAheadMilliseconds: number
  readonly promptTokens: number
  readonly unreadTokens: number
}

export const predict = (upstream: UpstreamState, service: Service | undefined, request: AdmittedRequest): Prediction => {
  const { performance: { times, service: { queueFactor } } } = upstream
  const isEngine = service?.isEngine === true
  const workAheadMilliseconds = workAhead(upstream, times, isEngine)
  const waitMilliseconds = workAheadMilliseconds * queueFactor
  const promptTokens = isEngine ? request.head.tokens?.prompt ?? 0 : 0
  const unreadTokens = isEngine ? upstream.unreadTokens(promptTokens, request.head.parts) : 0
  const milliseconds = waitMilliseconds + effectiveTokens(promptTokens, unreadTokens) * times.perTokenMilliseconds + times.fixedMilliseconds
  return { milliseconds, waitMilliseconds, workAheadMilliseconds, promptTokens, unreadTokens }
}
