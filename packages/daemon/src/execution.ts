/**
 * Runs one classified request: waits for an upstream, confirms the key, sends
 * the request or forwards it, and retries where the route allows it.
 */

import { Result } from 'true-myth'
import { Outcome, RefusalReason, assertInvariant, headerNames, refuse } from '@cuminvale/common'
import { isKeyInForce } from '@cuminvale/keys'
import { RoutingChoiceKind } from '@cuminvale/routing'
import type { Refusal, UpstreamId } from '@cuminvale/common'
import { maximumAttempts } from './constants.js'
import { UpstreamErrorKind } from './errors.js'
import { forwardRequest } from './forwardRequest.js'
import type { UpstreamError } from './errors.js'
import type { GatewayRequest } from './gatewayRequest.js'
import type { Assignment } from './scheduler.js'
import type { Exchange } from './upstreamClient.js'
import type { VmContext } from './vmContext.js'

/** An answer whose head has arrived; `finish` must be called when its body has ended. */
export interface RunningExchange {
  readonly exchange: Exchange
  readonly servedBy: string
  readonly forwarded: boolean
  readonly finish: (succeeded: boolean) => void
}

/** Called in the turn in which the request is handed to a connection, and when that is taken back. */
export interface SendObserver {
  readonly onSend: () => void
  readonly onNotSent: () => void
}

const ignoreSends: SendObserver = { onSend: () => {}, onNotSent: () => {} }

export const remainingMilliseconds = (context: VmContext, request: GatewayRequest): number =>
  Math.max(1, Math.ceil(request.deadlineAt - context.clock.monotonic()))

const upstreamHeaders = (request: GatewayRequest): Record<string, string> => ({
  'content-type': request.contentType,
  [headerNames.requestId]: request.id,
  ...(request.authorization === undefined ? {} : { authorization: request.authorization })
})

const confirmKey = (context: VmContext, request: GatewayRequest): Result<undefined, Refusal> => {
  const configuration = context.configuration.current
  if (request.identity === undefined) return Result.ok(undefined)
  if (configuration !== undefined && isKeyInForce(request.identity, configuration)) return Result.ok(undefined)
  return Result.err(refuse(RefusalReason.KeyUnknown, 'the key was withdrawn while the request waited'))
}

const logChoice = (context: VmContext, request: GatewayRequest, assignment: Assignment): void => {
  context.log.info('routing-decision', {
    request: request.id,
    team: request.team,
    route: request.route.name,
    choice: assignment.kind === RoutingChoiceKind.Run ? assignment.upstream : `${assignment.region}/${assignment.vm}`,
    runnerUp: assignment.kind === RoutingChoiceKind.Run ? assignment.runnerUp : undefined,
    reason: assignment.reason
  })
}

const refusalOf = (request: GatewayRequest, error: UpstreamError): Refusal => {
  if (error.kind === UpstreamErrorKind.NotSent) return refuse(RefusalReason.UpstreamFailed, error.message)
  const reason = error.kind === UpstreamErrorKind.Aborted ? RefusalReason.CallerGone : RefusalReason.UpstreamFailed
  const outcome = Outcome.Unknown
  return refuse(reason, `${request.route.name}: ${error.message}`, { outcome })
}

const runOnUpstream = async (
  context: VmContext,
  request: GatewayRequest,
  assignment: Extract<Assignment, { kind: 'run' }>
): Promise<Result<RunningExchange, UpstreamError>> => {
  const upstream = context.table.find(assignment.upstream)
  assertInvariant(upstream !== undefined && request.allowedRegions.includes(upstream.region), 'residency',
    () => `request ${request.id} sent to ${assignment.upstream} outside ${request.allowedRegions.join()}`)
  const finish = (succeeded: boolean): void => context.scheduler.release(assignment.upstream, succeeded)
  const result = await context.upstreamClient.exchange({
    origin: upstream?.address ?? '',
    path: request.path,
    method: request.method,
    headers: upstreamHeaders(request),
    body: request.body,
    signal: request.signal,
    timeoutMilliseconds: remainingMilliseconds(context, request),
    freshConnection: !request.route.idempotent
  })
  if (result.isErr) finish(result.error.kind === UpstreamErrorKind.Aborted)
  return result.map((exchange) => ({ exchange, servedBy: assignment.upstream, forwarded: false, finish }))
}

const attempt = (
  context: VmContext,
  request: GatewayRequest,
  assignment: Assignment
): Promise<Result<RunningExchange, UpstreamError>> => {
  if (assignment.kind === RoutingChoiceKind.Run) return runOnUpstream(context, request, assignment)
  context.metrics.sentAway.inc({ region: assignment.region })
  return forwardRequest(context, request, assignment.vm)
}

const mayRetry = (request: GatewayRequest, error: UpstreamError): boolean => {
  if (error.kind === UpstreamErrorKind.NotSent) return true
  return error.kind === UpstreamErrorKind.Broken && request.route.idempotent
}

const releaseUnused = (context: VmContext, assignment: Assignment): void => {
  if (assignment.kind === RoutingChoiceKind.Run) context.scheduler.release(assignment.upstream, true)
}

/** Runs a request until the head of an answer arrives or the attempts are used up. */
export const execute = async (
  context: VmContext,
  request: GatewayRequest,
  observer: SendObserver = ignoreSends
): Promise<Result<RunningExchange, Refusal>> => {
  const excluded = new Set<UpstreamId>()
  let last: Refusal | undefined
  for (let attempts = 0; attempts < maximumAttempts; attempts += 1) {
    if (attempts > 0) context.metrics.retries.inc()
    const acquired = await context.scheduler.acquire(request, excluded)
    if (acquired.isErr) return Result.err(last ?? acquired.error)
    const assignment = acquired.value
    const confirmed = confirmKey(context, request)
    if (confirmed.isErr || request.signal.aborted) {
      releaseUnused(context, assignment)
      return Result.err(confirmed.isErr ? confirmed.error : refuse(RefusalReason.CallerGone, 'the caller went away'))
    }
    logChoice(context, request, assignment)
    observer.onSend()
    const result = await attempt(context, request, assignment)
    if (result.isOk) return Result.ok(result.value)
    if (result.error.kind === UpstreamErrorKind.NotSent) observer.onNotSent()
    last = refusalOf(request, result.error)
    if (!mayRetry(request, result.error)) return Result.err(last)
    if (assignment.kind === RoutingChoiceKind.Run) excluded.add(assignment.upstream)
  }
  return Result.err(last ?? refuse(RefusalReason.NoUpstream, 'no attempt was possible'))
}
