/**
 * Timeouts of one attempt. A silent connection uses up only the attempt's own timeout,
 * which leaves time within the request's deadline for another attempt.
 */

import { RouteKind } from '@cuminvale/documents'
import {
  answerIdleTimeoutMilliseconds, firstByteMilliseconds, allowancePerOutputTokenMilliseconds, serviceAttemptDeadlineShare
} from './constants.js'
import type { ClassifiedRequest } from './classifiedRequest.js'

/** The head timeout ends with the first byte of the answer; the idle timeout bounds each gap in its body. */
export interface AttemptTimeouts {
  readonly headTimeoutMilliseconds: number
  readonly idleTimeoutMilliseconds: number
}

/** A request that is not idempotent may use all of the remaining time, since it is not sent again after a timeout. */
const headTimeout = (request: ClassifiedRequest, remainingMilliseconds: number): number => {
  if (!request.route.idempotent) return remainingMilliseconds
  if (request.route.kind === RouteKind.Service) return request.route.deadlineMilliseconds * serviceAttemptDeadlineShare
  if (request.streaming) return firstByteMilliseconds
  return firstByteMilliseconds + request.outputTokens * allowancePerOutputTokenMilliseconds
}

export const attemptTimeouts = (request: ClassifiedRequest, now: number): AttemptTimeouts => {
  const remainingMilliseconds = Math.max(1, Math.ceil(request.deadlineAt - now))
  return {
    headTimeoutMilliseconds: Math.max(1, Math.min(remainingMilliseconds, Math.ceil(headTimeout(request, remainingMilliseconds)))),
    idleTimeoutMilliseconds: answerIdleTimeoutMilliseconds
  }
}
