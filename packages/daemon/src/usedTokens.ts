/**
 * How many tokens an answer used, from the engine's own usage report.
 */

import { RouteKind } from '@cuminvale/documents'
import { requestTokens } from './gatewayRequest.js'
import type { CollectedAnswer } from './answer.js'
import type { GatewayRequest } from './gatewayRequest.js'

const usageStart = '"usage"'
const totalPattern = /"total_tokens"\s*:\s*(\d+)/

/** The reported total, or the whole charge where the engine reports none. */
export const usedTokens = (request: GatewayRequest, answer: CollectedAnswer): number => {
  if (request.route.kind === RouteKind.Service) return requestTokens(request)
  // Generated text holds its quotes escaped, so only the report itself matches.
  const usageAt = answer.body.lastIndexOf(usageStart)
  if (usageAt < 0) return requestTokens(request)
  const total = totalPattern.exec(answer.body.toString('utf8', usageAt))?.[1]
  return total === undefined ? requestTokens(request) : Number(total)
}
