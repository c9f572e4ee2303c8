/**
 * Renders refusals as RFC 9457 problem documents. The member `outcome` states whether the request ran.
 */

import { headerNames, millisecondsPerSecond, refusalStatus } from '@cuminvale/common'
import type { ServerResponse } from 'node:http'
import type { Refusal } from '@cuminvale/common'

export interface ProblemDocument {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  readonly outcome: string
  readonly reason: string
}

const minimumRetryAfterSeconds = 1
const retryStatuses: readonly number[] = [429, 503]
const defaultRetryAfterMilliseconds = 1_000

export const problemOf = (refusal: Refusal): ProblemDocument => ({
  type: `urn:cuminvale:problem:${refusal.reason}`,
  title: refusal.reason.replaceAll('-', ' '),
  status: refusalStatus(refusal),
  detail: refusal.detail,
  outcome: refusal.outcome,
  reason: refusal.reason
})

const retryAfterSeconds = (refusal: Refusal): number => {
  const milliseconds = refusal.retryAfterMilliseconds ?? defaultRetryAfterMilliseconds
  return Math.max(minimumRetryAfterSeconds, Math.ceil(milliseconds / millisecondsPerSecond))
}

/** Sends a refusal. Once the head of the answer has been sent, the connection is closed instead. */
export const sendRefusal = (response: ServerResponse, refusal: Refusal): void => {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const problem = problemOf(refusal)
  const body = JSON.stringify(problem)
  if (retryStatuses.includes(problem.status)) response.setHeader('retry-after', retryAfterSeconds(refusal))
  response.setHeader(headerNames.outcome, refusal.outcome)
  response.writeHead(problem.status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body)
  })
  response.end(body)
}
