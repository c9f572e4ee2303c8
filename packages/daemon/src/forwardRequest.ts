/**
 * Forwards a request to the peer port of another VM. Signed claims, including the digest of the
 * checked key, replace the key itself.
 */

import { randomUUID } from 'node:crypto'
import { Result } from 'true-myth'
import { assertInvariant, headerNames } from '@cuminvale/common'
import { digestBody, isValidAnswerProof, forwardProofLifetimeMilliseconds, signForward } from '@cuminvale/keys'
import type { IncarnationId, VmId } from '@cuminvale/common'
import type { ForwardClaims } from '@cuminvale/keys'
import type { Member } from '@cuminvale/membership'
import { discardAnswer } from './collectAnswer.js'
import { attemptTimeouts } from './attemptTimeouts.js'
import { maximumBorderCrossings, maximumHops } from './constants.js'
import { UpstreamError, UpstreamErrorKind } from './errors.js'
import { estimatedRequestTokens } from './classifiedRequest.js'
import type { RunningExchange } from './upstreamAttempt.js'
import type { Exchange } from './upstreamClient.js'
import type { ClassifiedRequest } from './classifiedRequest.js'
import type { VmContext } from './vmContext.js'

export const forwardPath = '/forward'
export const answerProofHeaderName = 'cuminvale-answer-proof'

/** An answer without a valid proof is rejected: it says nothing about whether the request ran. */
const requireProof = (
  context: VmContext,
  nonce: string,
  exchange: Exchange
): Result<Exchange, UpstreamError> => {
  const proof = exchange.headers[answerProofHeaderName]
  if (typeof proof === 'string' && isValidAnswerProof(nonce, proof, context.fleetSecret.accepted)) return Result.ok(exchange)
  discardAnswer(exchange)
  return Result.err(new UpstreamError(UpstreamErrorKind.Broken, 'the answer was not given by a VM of the fleet'))
}

/** An order under a ticket of this VM is forwarded to be run; one under another VM's ticket goes to that VM. */
const runsOrder = (context: VmContext, request: ClassifiedRequest): boolean =>
  request.ticket !== undefined && context.ticketMint.isOwn(request.ticket.ticket)

const claimsFor = (
  context: VmContext,
  request: ClassifiedRequest,
  to: Member,
  toIncarnation: IncarnationId
): ForwardClaims => {
  const { identity } = context
  const crossesBorder = to.vm.region !== identity.region
  const now = context.clock.wall()
  return {
    nonce: randomUUID(),
    requestId: request.id,
    from: identity.vm,
    fromIncarnation: identity.incarnation,
    fromRegion: identity.region,
    to: to.vm.name,
    toIncarnation,
    team: request.team,
    ...(request.identity === undefined ? {} : { keyDigest: request.identity.digest }),
    revision: context.configuration.current?.revision ?? (0 as never),
    route: request.route.name,
    ...(request.model === undefined ? {} : { model: request.model }),
    path: request.path,
    method: request.method,
    ...(request.ticketText === undefined ? {} : { ticket: request.ticketText }),
    runsOrder: runsOrder(context, request),
    hops: request.hops + 1,
    borderCrossings: request.borderCrossings + (crossesBorder ? 1 : 0),
    chargedTokens: estimatedRequestTokens(request),
    streaming: request.streaming,
    deadlineAt: now + request.deadlineAt - context.clock.monotonic(),
    expiresAt: now + forwardProofLifetimeMilliseconds,
    bodyDigest: digestBody(request.body)
  }
}

/** A refusal by the receiving VM is also an answer, not an error. */
export const forwardRequest = async (
  context: VmContext,
  request: ClassifiedRequest,
  vm: VmId
): Promise<Result<RunningExchange, UpstreamError>> => {
  const member = context.membership.find(vm)
  if (member === undefined) return Result.err(new UpstreamError(UpstreamErrorKind.NotSent, `${vm} is not listed`))
  if (member.incarnation === undefined) return Result.err(new UpstreamError(UpstreamErrorKind.NotSent, `${vm} was never heard from`))
  const claims = claimsFor(context, request, member, member.incarnation)
  assertInvariant(claims.hops <= maximumHops && claims.borderCrossings <= maximumBorderCrossings, 'no-loops',
    () => `request ${request.id} at hop ${claims.hops}, crossing ${claims.borderCrossings}`)
  const result = await context.upstreamClient.exchange({
    origin: `http://${member.vm.host}:${member.vm.peerPort}`,
    path: forwardPath,
    method: 'POST',
    headers: {
      'content-type': request.contentType,
      [headerNames.forwarded]: signForward(claims, context.fleetSecret.signing),
      ...(request.authorization === undefined ? {} : { authorization: request.authorization })
    },
    body: request.body,
    signal: request.signal,
    ...attemptTimeouts(request, context.clock.monotonic()),
    usesNewConnection: !request.route.idempotent
  })
  return result.andThen((exchange) => requireProof(context, claims.nonce, exchange)).map((exchange) => ({ exchange, servedBy: vm, forwarded: true, finish: async () => {} }))
}
