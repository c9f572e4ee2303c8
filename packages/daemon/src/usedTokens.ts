/**
 * How many tokens an answer used, from the engine's own usage report.
 */

import { RouteKind } from '@cuminvale/documents'
import { requestTokens } from './gatewayRequest.js'
import type { CollectedAnswer } from './answer.js'
import type { GatewayRequest } from './gatewayRequest.js'

interface WithUsage {
  readonly usage?: { readonly total_tokens?: unknown }
}

/** The reported total, or the whole charge where the engine reports none. */
export const usedTokens = (request: GatewayRequest, answer: CollectedAnswer): number => {
  if (request.route.kind === RouteKind.Service) return requestTokens(request)
  try {
    const total = (JSON.parse(answer.body.toString()) as WithUsage).usage?.total_tokens
    return typeof total === 'number' ? total : requestTokens(request)
  } catch {
    return requestTokens(request)
  }
}
