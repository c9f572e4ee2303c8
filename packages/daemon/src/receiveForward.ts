/**
 * Receives a request that another VM has forwarded: verifies the signed claims, and checks hops, key, plan
 * and regions again under this VM's own configuration.
 */

import { Result } from 'true-myth'
import { Outcome, RefusalReason, headerNames, refuse } from '@cuminvale/common'
import { RouteKind, allowedRegions, planOfTeam } from '@cuminvale/documents'
import { isKeyInForce, readUnverifiedOrder, verifyForward } from '@cuminvale/keys'
import { parseTicket } from '@cuminvale/orders'
import type { IncomingMessage } from 'node:http'
import type { Refusal, RegionId } from '@cuminvale/common'
import type { Configuration, Plan, Route } from '@cuminvale/documents'
import type { ForwardClaims, KeyIdentity } from '@cuminvale/keys'
import { maximumBorderCrossings, maximumHops } from './constants.js'
import { readBody } from './readBody.js'
import { parseCompletionBody } from './completionBody.js'
import { requireConfiguration } from './receiveRequest.js'
import type { ClassifiedRequest } from './classifiedRequest.js'
import type { VmContext } from './vmContext.js'

const forwardBodyLimitBytes = 64 * 1024 * 1024

interface CheckedClaims {
  readonly claims: ForwardClaims
  readonly route: Route
  readonly identity?: KeyIdentity
  readonly plan?: Plan
  readonly allowedRegions: readonly RegionId[]
}

const checkHops = (claims: ForwardClaims): Result<ForwardClaims, Refusal> => {
  const isWithinLimits = claims.hops <= maximumHops && claims.borderCrossings <= maximumBorderCrossings
  if (isWithinLimits) return Result.ok(claims)
  return Result.err(refuse(RefusalReason.HopLimit, 'the request has been forwarded too often'))
}

const checkOpenRoute = (claims: ForwardClaims, route: Route, region: RegionId): Result<CheckedClaims, Refusal> => {
  if (!route.open) return Result.err(refuse(RefusalReason.KeyMissing, 'the forwarded request names no key'))
  return Result.ok({ claims, route, allowedRegions: [region] })
}

const checkClaims = (
  claims: ForwardClaims,
  configuration: Configuration,
  region: RegionId
): Result<CheckedClaims, Refusal> => {
  const route = configuration.routes.get(claims.route)
  if (route === undefined) return Result.err(refuse(RefusalReason.RouteUnknown, `there is no route "${claims.route}"`))
  if (claims.keyDigest === undefined) return checkOpenRoute(claims, route, region)
  const identity = { team: claims.team, digest: claims.keyDigest }
  if (!isKeyInForce(identity, configuration)) {
    return Result.err(refuse(RefusalReason.KeyUnknown, 'the key is not known or was withdrawn'))
  }
  const team = configuration.teams.get(claims.team)
  const plan = planOfTeam(configuration, claims.team)
  if (team === undefined || plan?.routes.includes(route.name) !== true) {
    return Result.err(refuse(RefusalReason.NotInPlan, `the plan of team "${claims.team}" has no route "${route.name}"`))
  }
  return Result.ok({ claims, route, identity, plan, allowedRegions: allowedRegions(team, plan, route) })
}

const forwardHeader = (incoming: IncomingMessage): string => String(incoming.headers[headerNames.forwarded] ?? '')

const readVerifiedClaims = async (
  incoming: IncomingMessage,
  context: VmContext
): Promise<Result<{ readonly claims: ForwardClaims, readonly body: Buffer }, Refusal>> => {
  const body = await readBody(incoming, {
    limitBytes: forwardBodyLimitBytes,
    timeoutMilliseconds: context.settings.requests['body-timeout-milliseconds']
  })
  if (body.isErr) return Result.err(body.error)
  const header = forwardHeader(incoming)
  const verified = verifyForward(header, {
    secrets: context.fleetSecret.accepted,
    self: context.identity.vm,
    incarnation: context.identity.incarnation,
    seen: context.replayCache,
    body: body.value,
    now: context.clock.wall()
  })
  return verified
    .map((claims) => ({ claims, body: body.value }))
    .mapErr((error) => refuse(RefusalReason.KeyUnknown, error.message, {
      outcome: error.isReplay ? Outcome.Unknown : Outcome.NotRun
    }))
}

/** Returns the classified request that a peer forwarded, or the refusal to send. */
export const receiveForward = async (
  incoming: IncomingMessage,
  context: VmContext,
  signal: AbortSignal
): Promise<Result<ClassifiedRequest, Refusal>> => {
  const verified = await readVerifiedClaims(incoming, context)
  if (verified.isErr) {
    return Result.err(context.orderPolicy.refusalOfForward(readUnverifiedOrder(forwardHeader(incoming)), verified.error))
  }
  const { claims, body } = verified.value
  const checked = checkHops(claims)
    .andThen(() => requireConfiguration(context))
    .andThen((configuration) => checkClaims(claims, configuration, context.identity.region))
  return checked
    .map((accepted) => buildRequest({ accepted, body, context, signal, incoming }))
    .mapErr((refusal) => context.orderPolicy.refusalOfForward(claims, refusal))
}

/** A request that has crossed a region border as often as permitted may run only in this VM's region. */
const remainingRegions = (accepted: CheckedClaims, region: RegionId): readonly RegionId[] => {
  if (accepted.claims.borderCrossings < maximumBorderCrossings) return accepted.allowedRegions
  return accepted.allowedRegions.filter((allowed) => allowed === region)
}

interface BuildRequestOptions {
  readonly accepted: CheckedClaims
  readonly body: Buffer
  readonly context: VmContext
  readonly signal: AbortSignal
  readonly incoming: IncomingMessage
}

const buildRequest = ({ accepted, body, context, signal, incoming }: BuildRequestOptions): ClassifiedRequest => {
  const { claims, route } = accepted
  const isCompletion = route.kind === RouteKind.Completion
  const fields = isCompletion ? parseCompletionBody(body, claims.path.includes('/chat/')) : undefined
  const ticket = claims.ticket === undefined ? undefined : parseTicket(claims.ticket)
  const now = context.clock.monotonic()
  const authorization = route.open ? incoming.headers.authorization : undefined
  return {
    id: claims.requestId,
    ...(accepted.identity === undefined ? {} : { identity: accepted.identity }),
    team: claims.team,
    ...(accepted.plan === undefined ? {} : { plan: accepted.plan }),
    route,
    ...(claims.model === undefined ? {} : { model: claims.model }),
    method: claims.method,
    path: claims.path,
    contentType: incoming.headers['content-type'] ?? 'application/json',
    ...(authorization === undefined ? {} : { authorization }),
    body,
    prompt: fields?.isOk === true ? fields.value.prompt : '',
    promptTokens: fields?.isOk === true ? fields.value.promptTokens : claims.chargedTokens,
    outputTokens: fields?.isOk === true ? fields.value.outputTokens : 0,
    streaming: claims.streaming,
    allowedRegions: remainingRegions(accepted, context.identity.region),
    arrivedAt: now,
    deadlineAt: now + claims.deadlineAt - context.clock.wall(),
    hops: claims.hops,
    borderCrossings: claims.borderCrossings,
    isAlreadyCharged: true,
    ...(claims.ticket === undefined ? {} : { ticketText: claims.ticket }),
    ...(ticket?.isJust === true ? { ticket: ticket.value } : {}),
    ...(claims.runsOrder ? { runOnBehalfOf: { vm: claims.from, incarnation: claims.fromIncarnation } } : {}),
    signal
  }
}
