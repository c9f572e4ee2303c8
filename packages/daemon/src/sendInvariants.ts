/**
 * Invariants asserted in the turn of the event loop in which a request is sent to an upstream.
 * If one is violated in production, the request is not sent.
 */

import { assertInvariant } from '@cuminvale/common'
import { isKeyInForce } from '@cuminvale/keys'
import { Result } from 'true-myth'
import type { Upstream } from '@cuminvale/documents'
import { UpstreamError, UpstreamErrorKind } from './errors.js'
import type { ClassifiedRequest } from './classifiedRequest.js'
import type { VmContext } from './vmContext.js'

interface SendInvariant {
  readonly name: string
  readonly holds: (context: VmContext, request: ClassifiedRequest, upstream: Upstream) => boolean
}

const isKeyInForceForTeam = (context: VmContext, request: ClassifiedRequest): boolean => {
  const configuration = context.configuration.current
  if (request.identity === undefined) return request.route.open
  return configuration !== undefined && request.identity.team === request.team && isKeyInForce(request.identity, configuration)
}

const sendInvariants: readonly SendInvariant[] = [
  { name: 'residency', holds: (_, request, upstream) => request.allowedRegions.includes(upstream.region) },
  { name: 'key-in-force', holds: isKeyInForceForTeam },
  { name: 'no-key-upstream', holds: (_, request) => request.authorization === undefined || request.route.open },
  { name: 'leaving-upstream', holds: (_, __, upstream) => !upstream.leaving }
]

/** Returns the upstream if every invariant holds for sending the request to it. */
export const checkSendInvariants = (
  context: VmContext,
  request: ClassifiedRequest,
  upstream: Upstream | undefined
): Result<Upstream, UpstreamError> => {
  if (upstream === undefined) return Result.err(new UpstreamError(UpstreamErrorKind.NotSent, 'the upstream is not listed any more'))
  const violated = sendInvariants.find(({ holds }) => !holds(context, request, upstream))
  if (violated === undefined) return Result.ok(upstream)
  assertInvariant(false, violated.name, () => `request ${request.id} of team ${request.team} for upstream ${upstream.name}`)
  return Result.err(new UpstreamError(UpstreamErrorKind.NotSent, `the invariant ${violated.name} does not hold`))
}
