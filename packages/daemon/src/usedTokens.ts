/**
 * Tokens that an answer used, according to the engine's usage report.
 */

import { RouteKind } from '@cuminvale/documents'
import { estimatedRequestTokens } from './classifiedRequest.js'
import type { CollectedAnswer } from './collectAnswer.js'
import type { ClassifiedRequest } from './classifiedRequest.js'

const usageKey = '"usage"'
const totalPattern = /"total_tokens"\s*:\s*(\d+)/

/** The reported total, or the whole charge if the engine reports none. */
export const usedTokens = (request: ClassifiedRequest, answer: CollectedAnswer): number => {
  if (request.route.kind === RouteKind.Service) return estimatedRequestTokens(request)
  // Quotes in generated text are escaped, so that only the usage report itself matches.
  const usageIndex = answer.body.lastIndexOf(usageKey)
  if (usageIndex < 0) return estimatedRequestTokens(request)
  const total = totalPattern.exec(answer.body.toString('utf8', usageIndex))?.[1]
  return total === undefined ? estimatedRequestTokens(request) : Number(total)
}
