/**
 * Tokens that an answer used, according to the engine's usage report.
 */

import { RouteKind } from '@cuminvale/documents'
import { requestTokens } from './gatewayRequest.js'
import type { CollectedAnswer } from './answer.js'
import type { GatewayRequest } from './gatewayRequest.js'

const usageKey = '"usage"'
const totalPattern = /"total_tokens"\s*:\s*(\d+)/

/** The reported total, or the whole charge if the engine reports none. */
export const usedTokens = (request: GatewayRequest, answer: CollectedAnswer): number => {
  if (request.route.kind === RouteKind.Service) return requestTokens(request)
  // Quotes in generated text are escaped, so that only the usage report itself matches.
  const usageIndex = answer.body.lastIndexOf(usageKey)
  if (usageIndex < 0) return requestTokens(request)
  const total = totalPattern.exec(answer.body.toString('utf8', usageIndex))?.[1]
  return total === undefined ? requestTokens(request) : Number(total)
}
