/**
 * How long one attempt may wait on its connection, so that a silent one costs
 * no more than the attempt's own limit and leaves time for another.
 */

import { RouteKind } from '@cuminvale/documents'
import {
  betweenTokensMilliseconds, firstByteMilliseconds, outputTokenMilliseconds, serviceAttemptShare
} from './constants.js'
import type { GatewayRequest } from './gatewayRequest.js'

export interface AttemptLimits {
  readonly headMilliseconds: number
  readonly idleMilliseconds: number
}

const headLimit = (request: GatewayRequest, remainingMilliseconds: number): number => {
  if (!request.route.idempotent) return remainingMilliseconds
  if (request.route.kind === RouteKind.Service) return request.route.deadlineMilliseconds * serviceAttemptShare
  if (request.streaming) return firstByteMilliseconds
  return firstByteMilliseconds + request.outputTokens * outputTokenMilliseconds
}

export const attemptLimits = (request: GatewayRequest, now: number): AttemptLimits => {
  const remainingMilliseconds = Math.max(1, Math.ceil(request.deadlineAt - now))
  return {
    headMilliseconds: Math.max(1, Math.min(remainingMilliseconds, Math.ceil(headLimit(request, remainingMilliseconds)))),
    idleMilliseconds: betweenTokensMilliseconds
  }
}
