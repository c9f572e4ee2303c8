/**
 * Executes one classified request of the daemon. It waits for an upstream, checks the key again, and sends
 * or forwards the request. It retries if the route and the retry budget allow it.
 * The gateway process of the users' platform has its own code for this.
 */

import { Result } from 'true-myth'
import { Outcome, RefusalReason, refuse } from '@cuminvale/common'
import { isKeyInForce } from '@cuminvale/keys'
import { RetryDecisionKind, RoutingChoiceKind, SuspicionKind } from '@cuminvale/routing'
import type { Refusal, UpstreamId } from '@cuminvale/common'
import { collectAnswer, isEventStream } from './answer.js'
import { UpstreamErrorKind } from './errors.js'
import { forwardRequest } from './forwardRequest.js'
import { refusalOfAbort } from './keyWithdrawal.js'
import { attemptOnUpstream, requestDigestOf } from './upstreamAttempt.js'
import type { UpstreamError } from './errors.js'
import type { GatewayRequest } from './gatewayRequest.js'
import type { Assignment } from './scheduler.js'
import type { RunningExchange } from './upstreamAttempt.js'
import type { VmContext } from './vmContext.js'

/** Informed of each attempt to send a request. */
export interface SendObserver {
  /** Called in the turn of the event loop in which the request is passed to a connection. */
  readonly onSend: () => void
  /** Called if that attempt failed before any byte was sent. */
  readonly onNotSent: () => void
}

const ignoreSends: SendObserver = { onSend: () => {}, onNotSent: () => {} }
const suspectRetryMilliseconds = 1_000

const confirmKey = (context: VmContext, request: GatewayRequest): Result<undefined, Refusal> => {
  const configuration = context.configuration.current
  if (request.identity === undefined) return Result.ok(undefined)
  if (configuration !== undefined && isKeyInForce(request.identity, configuration)) return Result.ok(undefined)
  return Result.err(refuse(RefusalReason.KeyUnknown, 'the key was withdrawn while the request waited'))
}

/**
 * Upstreams to exclude for a request that is suspected of crashing upstreams, or the refusal to run it.
 * Only one copy of a suspected request runs at a time, which shows whether it crashes another upstream.
 */
const checkSuspicion = (context: VmContext, request: GatewayRequest): Result<ReadonlySet<UpstreamId>, Refusal> => {
  const { suspects } = context
  if (suspects.isEmpty) return Result.ok(new Set())
  const digest = requestDigestOf(request)
  const suspicion = suspects.suspicionOf(digest)
  if (suspicion.kind === SuspicionKind.Clear) return Result.ok(new Set())
  if (suspicion.kind === SuspicionKind.Convicted) {
    return Result.err(refuse(RefusalReason.CrashSuspect, 'upstreams died while they ran this request', {
      retryAfterMilliseconds: suspicion.remainingMilliseconds
    }))
  }
  if (suspects.isRunning(digest)) {
    return Result.err(refuse(RefusalReason.CrashSuspect, 'an upstream died running this request; a copy is on trial', {
      retryAfterMilliseconds: suspectRetryMilliseconds
    }))
  }
  return Result.ok(new Set([...suspicion.diedOn, ...suspects.upstreamsWithSuspects()]))
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

const refusalOf = (context: VmContext, request: GatewayRequest, error: UpstreamError): Refusal => {
  const detail = `${request.route.name}: ${error.message}`
  if (error.kind === UpstreamErrorKind.NotSent) return refuse(RefusalReason.UpstreamFailed, detail)
  if (error.kind === UpstreamErrorKind.Aborted) return refusalOfAbort(context, request, Outcome.Unknown)
  return refuse(RefusalReason.UpstreamFailed, detail, { outcome: Outcome.Unknown })
}

const send = async (
  context: VmContext,
  request: GatewayRequest,
  assignment: Assignment
): Promise<Result<RunningExchange, UpstreamError>> => {
  if (assignment.kind === RoutingChoiceKind.Run) return await attemptOnUpstream(context, request, assignment.upstream)
  context.metrics.sentAway.inc({ region: assignment.region })
  return await forwardRequest(context, request, assignment.vm)
}

/** Collects the answer of an idempotent request, unless it is a stream. The request can then be retried unnoticed by the caller. */
const attempt = async (
  context: VmContext,
  request: GatewayRequest,
  assignment: Assignment
): Promise<Result<RunningExchange, UpstreamError>> => {
  const sent = await send(context, request, assignment)
  if (sent.isErr || !request.route.idempotent || isEventStream(sent.value.exchange)) return sent
  const collected = await collectAnswer(sent.value.exchange)
  await sent.value.finish(collected.isErr ? collected.error : undefined)
  return collected.map((answer) => ({ ...sent.value, collected: answer }))
}

const isRepeatable = (request: GatewayRequest, error: UpstreamError): boolean => {
  if (error.kind === UpstreamErrorKind.NotSent) return true
  const mayHaveRun = error.kind === UpstreamErrorKind.Broken || error.kind === UpstreamErrorKind.Silent
  return mayHaveRun && request.route.idempotent
}

const releaseUnused = (context: VmContext, request: GatewayRequest, assignment: Assignment): void => {
  if (assignment.kind === RoutingChoiceKind.Run) context.scheduler.release(assignment.upstream, { team: request.team, succeeded: true })
}

const pause = async (milliseconds: number): Promise<void> =>
  await new Promise((resolve) => setTimeout(resolve, milliseconds))

/** Waits for the backoff before a retry; false if no retry is allowed. */
const awaitRetry = async (context: VmContext, request: GatewayRequest, attempts: number): Promise<boolean> => {
  const decision = context.retries.decide({
    team: request.team, attempts, remainingMilliseconds: request.deadlineAt - context.clock.monotonic()
  })
  if (decision.kind === RetryDecisionKind.GiveUp) {
    context.log.info('retry-refused', { request: request.id, team: request.team, reason: decision.reason })
    return false
  }
  context.metrics.retries.inc()
  await pause(decision.delayMilliseconds)
  return true
}

/** Checks that must pass in the turn of the event loop in which the request is sent. */
const confirmSend = (context: VmContext, request: GatewayRequest): Result<undefined, Refusal> => {
  if (request.signal.aborted) return Result.err(refusalOfAbort(context, request, Outcome.NotRun))
  return confirmKey(context, request)
}

/**
 * Attempts a request until the head of an answer arrives or no further attempt is allowed. Once an
 * attempt may have run, a later refusal keeps the outcome `unknown`: "not run" would be false of that attempt.
 */
export const execute = async (
  context: VmContext,
  request: GatewayRequest,
  observer: SendObserver = ignoreSends
): Promise<Result<RunningExchange, Refusal>> => {
  const failed = new Set<UpstreamId>()
  let last: Refusal | undefined
  context.retries.started(request.team)
  for (let attempts = 1; ; attempts += 1) {
    const spared = checkSuspicion(context, request)
    if (spared.isErr) return Result.err(worse(last, spared.error))
    const acquired = await context.scheduler.acquire(request, new Set([...failed, ...spared.value]))
    if (acquired.isErr) {
      const { aborted } = request.signal
      return Result.err(worse(last, aborted ? refusalOfAbort(context, request, Outcome.NotRun) : acquired.error))
    }
    const assignment = acquired.value
    const confirmed = confirmSend(context, request)
    if (confirmed.isErr) {
      releaseUnused(context, request, assignment)
      return Result.err(worse(last, confirmed.error))
    }
    logChoice(context, request, assignment)
    observer.onSend()
    const result = await attempt(context, request, assignment)
    if (result.isOk) return Result.ok(result.value)
    if (result.error.kind === UpstreamErrorKind.NotSent) observer.onNotSent()
    last = worse(last, refusalOf(context, request, result.error))
    if (!isRepeatable(request, result.error) || !await awaitRetry(context, request, attempts)) return Result.err(last)
    if (assignment.kind === RoutingChoiceKind.Run) failed.add(assignment.upstream)
  }
}

/** The later refusal, with the outcome `unknown` if an earlier attempt may have run. */
const worse = (before: Refusal | undefined, now: Refusal): Refusal => {
  const mayHaveRun = before?.outcome === Outcome.Unknown && now.outcome === Outcome.NotRun
  return mayHaveRun ? { ...now, outcome: Outcome.Unknown } : now
}
