/**
 * Timeouts of one attempt. A silent connection uses up only the attempt's own timeout,
 * which leaves time within the request's deadline for another attempt.
 */

import { RouteKind } from '@cuminvale/documents'
import {
  betweenTokensMilliseconds, firstByteMilliseconds, outputTokenMilliseconds, serviceAttemptShare
} from './constants.js'
import type { GatewayRequest } from './gatewayRequest.js'

/** The head timeout ends with the first byte of the answer; the idle timeout bounds each gap in its body. */
export interface AttemptLimits {
  readonly headMilliseconds: number
  readonly idleMilliseconds: number
}

/** A request that is not idempotent may use all of the remaining time, since it is not sent again after a timeout. */
const headTimeout = (request: GatewayRequest, remainingMilliseconds: number): number => {
  if (!request.route.idempotent) return remainingMilliseconds
  if (request.route.kind === RouteKind.Service) return request.route.deadlineMilliseconds * serviceAttemptShare
  if (request.streaming) return firstByteMilliseconds
  return firstByteMilliseconds + request.outputTokens * outputTokenMilliseconds
}

export const attemptLimits = (request: GatewayRequest, now: number): AttemptLimits => {
  const remainingMilliseconds = Math.max(1, Math.ceil(request.deadlineAt - now))
  return {
    headMilliseconds: Math.max(1, Math.min(remainingMilliseconds, Math.ceil(headTimeout(request, remainingMilliseconds)))),
    idleMilliseconds: betweenTokensMilliseconds
  }
}
