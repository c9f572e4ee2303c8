/**
 * Steps common to ordinary requests and orders: charging, usage counting, outcome headers and
 * the log line of a refusal.
 */

import { Result } from 'true-myth'
import { Outcome, headerNames } from '@cuminvale/common'
import type { ServerResponse } from 'node:http'
import type { Refusal } from '@cuminvale/common'
import type { Charge } from '@cuminvale/limits'
import { estimatedRequestTokens } from './classifiedRequest.js'
import type { CollectedAnswer } from './collectAnswer.js'
import type { RunningExchange } from './upstreamAttempt.js'
import type { ClassifiedRequest } from './classifiedRequest.js'
import type { VmContext } from './vmContext.js'

/** Charges the team, unless another VM has charged it or the request has no key. */
export const chargeRequest = async (
  context: VmContext,
  request: ClassifiedRequest
): Promise<Result<Charge | undefined, Refusal>> => {
  if (request.isAlreadyCharged || request.identity === undefined) return Result.ok(undefined)
  return await context.limiter.chargeAsync(request.team, estimatedRequestTokens(request))
}

export const settleCharge = (context: VmContext, charge: Charge | undefined, tokens: number): void => {
  if (charge !== undefined) context.limiter.settle(charge, tokens)
}

export const writeAnswerHead = (response: ServerResponse, answer: CollectedAnswer, servedBy: string): void => {
  response.setHeader(headerNames.outcome, Outcome.Done)
  response.setHeader(headerNames.upstream, servedBy)
  response.writeHead(answer.status, { 'content-type': answer.contentType, 'content-length': answer.body.length })
}

/** Counts the usage of a request that ran in this VM's region; a forwarded one is counted by the receiving VM. */
export const countCompleted = (context: VmContext, request: ClassifiedRequest, tokens: number): void => {
  context.usageMeter.complete({
    id: request.id,
    team: request.team,
    route: request.route.name,
    weight: request.route.usageWeight,
    tokens
  })
}

/** An answer from another VM keeps the outcome, upstream and retry delay that it states. */
export const setOutcomeHeaders = (response: ServerResponse, running: RunningExchange): void => {
  const stated = running.forwarded ? running.exchange.headers[headerNames.outcome] : undefined
  const servedBy = running.forwarded ? running.exchange.headers[headerNames.upstream] : undefined
  const retryAfter = running.forwarded ? running.exchange.headers['retry-after'] : undefined
  response.setHeader(headerNames.outcome, typeof stated === 'string' ? stated : Outcome.Done)
  response.setHeader(headerNames.upstream, typeof servedBy === 'string' ? servedBy : running.servedBy)
  if (typeof retryAfter === 'string') response.setHeader('retry-after', retryAfter)
}

export const logRefusal = (context: VmContext, request: ClassifiedRequest, refusal: Refusal): void => {
  context.metrics.refusals.inc({ reason: refusal.reason })
  context.metrics.requests.inc({ route: request.route.name, team: request.team, outcome: refusal.outcome })
  context.log.info('refusal', {
    request: request.id,
    team: request.team,
    route: request.route.name,
    reason: refusal.reason,
    outcome: refusal.outcome,
    detail: refusal.detail
  })
}
