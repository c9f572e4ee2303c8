/**
 * Reads and classifies a caller's request: key, route, plan, body and model.
 * Invalid requests are refused here, before anything is charged or sent to an upstream.
 */

import { Result } from 'true-myth'
import { RefusalReason, headerNames, refuse, toTeamId } from '@cuminvale/common'
import { allowedRegions, planOfTeam, RouteKind } from '@cuminvale/documents'
import { checkKey } from '@cuminvale/keys'
import { parseTicket } from '@cuminvale/orders'
import type { IncomingMessage } from 'node:http'
import type { Refusal, RequestId } from '@cuminvale/common'
import type { Configuration, Plan, Route } from '@cuminvale/documents'
import type { KeyIdentity } from '@cuminvale/keys'
import { readBody } from './readBody.js'
import { parseCompletionBody } from './completionBody.js'
import { hasParserError } from './httpParserErrors.js'
import { firstCompletionRoute, leavesRouteToPlan, pathOf, resolvePath } from './requestPath.js'
import type { ClassifiedRequest } from './classifiedRequest.js'
import type { RequestPath } from './requestPath.js'
import type { VmContext } from './vmContext.js'

/** Team that requests without a key, which only open routes accept, are queued under. */
export const openRouteTeam = toTeamId('open')

export const routeHeaderName = 'cuminvale-route'

export interface Caller {
  readonly identity?: KeyIdentity
  readonly plan?: Plan
}

const notReadyRefusal = (): Refusal =>
  refuse(RefusalReason.NotReady, 'this VM has no configuration yet', { retryAfterMilliseconds: 1_000 })

export const requireConfiguration = (context: VmContext): Result<Configuration, Refusal> => {
  const configuration = context.configuration.current
  return configuration === undefined ? Result.err(notReadyRefusal()) : Result.ok(configuration)
}

/** Route, upstream path and caller of a request, known before its body is read. */
interface RequestTarget extends RequestPath {
  readonly caller: Caller
}

const checkCaller = (request: IncomingMessage, configuration: Configuration): Result<Required<Caller>, Refusal> =>
  checkKey(request.headers.authorization, configuration).andThen((identity) => {
    const plan = planOfTeam(configuration, identity.team)
    if (plan !== undefined) return Result.ok({ identity, plan })
    return Result.err(refuse(RefusalReason.NotInPlan, `the team "${identity.team}" has no plan`))
  })

const identifyCaller = (
  request: IncomingMessage,
  route: Route,
  configuration: Configuration
): Result<Caller, Refusal> => {
  if (route.open) return Result.ok({})
  return checkCaller(request, configuration).andThen((caller) => {
    if (caller.plan.routes.includes(route.name)) return Result.ok(caller)
    return Result.err(refuse(RefusalReason.NotInPlan, `the plan of team "${caller.identity.team}" has no route "${route.name}"`))
  })
}

/** The caller's plan chooses the route if the caller names none. */
const identifyTarget = (incoming: IncomingMessage, configuration: Configuration): Result<RequestTarget, Refusal> => {
  const url = incoming.url ?? '/'
  const routeHeader = headerOf(incoming, routeHeaderName)
  if (leavesRouteToPlan(url, routeHeader)) {
    return checkCaller(incoming, configuration).andThen((caller) =>
      firstCompletionRoute(configuration, caller.plan).map((route) => ({ route, upstreamPath: pathOf(url), caller })))
  }
  return resolvePath(url, routeHeader, configuration).andThen((path) =>
    identifyCaller(incoming, path.route, configuration).map((caller) => ({ ...path, caller })))
}

const permittedRegions = (caller: Caller, route: Route, configuration: Configuration): ClassifiedRequest['allowedRegions'] => {
  const team = caller.identity === undefined ? undefined : configuration.teams.get(caller.identity.team)
  if (team !== undefined && caller.plan !== undefined) return allowedRegions(team, caller.plan, route)
  return [...new Set([...configuration.upstreams.values()].map((upstream) => upstream.region))]
}

const headerOf = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name]
  return typeof value === 'string' ? value : undefined
}

/** Fields that completion routes read from the body; service routes use defaults. */
type BodyFields = Pick<ClassifiedRequest, 'model' | 'prompt' | 'promptTokens' | 'outputTokens' | 'streaming'>

const readBodyFields = (route: Route, path: string, body: Buffer): Result<BodyFields, Refusal> => {
  if (route.kind === RouteKind.Completion) return parseCompletionBody(body, path.includes('/chat/'))
  return Result.ok({ prompt: '', promptTokens: route.chargeTokens, outputTokens: 0, streaming: false })
}

const checkModel = (fields: BodyFields, caller: Caller, configuration: Configuration): Result<BodyFields, Refusal> => {
  const { model } = fields
  if (model === undefined) return Result.ok(fields)
  const isServed = [...configuration.upstreams.values()].some((upstream) => upstream.models.includes(model))
  if (!isServed) return Result.err(refuse(RefusalReason.ModelUnknown, `there is no model "${model}"`))
  if (caller.plan !== undefined && !caller.plan.models.includes(model)) {
    return Result.err(refuse(RefusalReason.NotInPlan, `the plan "${caller.plan.name}" has no model "${model}"`))
  }
  return Result.ok(fields)
}

export interface ReceiveRequestOptions {
  readonly context: VmContext
  readonly id: RequestId
  readonly signal: AbortSignal
  /** Called when every check before the body has passed, just before the body is read. */
  readonly onBeforeBodyRead: () => void
}

/** Returns the classified request, or the refusal to send. */
export const receiveRequest = async (
  incoming: IncomingMessage,
  options: ReceiveRequestOptions
): Promise<Result<ClassifiedRequest, Refusal>> => {
  const { context, id, signal } = options
  const currentConfiguration = requireConfiguration(context)
  if (currentConfiguration.isErr) return Result.err(currentConfiguration.error)
  const configuration = currentConfiguration.value
  const target = identifyTarget(incoming, configuration)
  if (target.isErr) return Result.err(target.error)
  const { route, upstreamPath, caller } = target.value
  const body = await readBody(incoming, {
    limitBytes: route.bodyLimitBytes,
    timeoutMilliseconds: context.settings.requests['body-timeout-milliseconds'],
    onBeforeBodyRead: options.onBeforeBodyRead
  })
  if (body.isErr) return Result.err(body.error)
  if (hasParserError(incoming)) return Result.err(refuse(RefusalReason.RequestInvalid, 'bytes after the body are not a request'))
  const fields = readBodyFields(route, upstreamPath, body.value)
    .andThen((read) => checkModel(read, caller, configuration))
  if (fields.isErr) return Result.err(fields.error)
  const now = context.clock.monotonic()
  const ticketText = headerOf(incoming, headerNames.ticket)
  const ticket = ticketText === undefined ? undefined : parseTicket(ticketText).unwrapOr(undefined as never)
  const authorization = route.open ? headerOf(incoming, 'authorization') : undefined
  return Result.ok({
    id,
    team: caller.identity?.team ?? openRouteTeam,
    ...caller,
    ...fields.value,
    route,
    method: incoming.method ?? 'GET',
    path: upstreamPath,
    contentType: headerOf(incoming, 'content-type') ?? 'application/json',
    ...(authorization === undefined ? {} : { authorization }),
    body: body.value,
    allowedRegions: permittedRegions(caller, route, configuration),
    arrivedAt: now,
    deadlineAt: now + route.deadlineMilliseconds,
    hops: 0,
    borderCrossings: 0,
    isAlreadyCharged: false,
    ...(ticketText === undefined ? {} : { ticketText }),
    ...(ticket === undefined ? {} : { ticket }),
    signal
  })
}
