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
import { collectAnswer, isEventStream } from './collectAnswer.js'
import { UpstreamErrorKind } from './errors.js'
import { forwardRequest } from './forwardRequest.js'
import { refusalOfAbort } from './keyWithdrawal.js'
import { attemptOnUpstream, requestDigestOf } from './upstreamAttempt.js'
import type { UpstreamError } from './errors.js'
import type { ClassifiedRequest } from './classifiedRequest.js'
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

const noObserver: SendObserver = { onSend: () => {}, onNotSent: () => {} }
const crashSuspectRetryMilliseconds = 1_000

const checkKeyInForce = (context: VmContext, request: ClassifiedRequest): Result<undefined, Refusal> => {
  const configuration = context.configuration.current
  if (request.identity === undefined) return Result.ok(undefined)
  if (configuration !== undefined && isKeyInForce(request.identity, configuration)) return Result.ok(undefined)
  return Result.err(refuse(RefusalReason.KeyUnknown, 'the key was withdrawn while the request waited'))
}

/**
 * Upstreams to exclude for a request that is suspected of crashing upstreams, or the refusal to run it.
 * Only one copy of a suspected request runs at a time, which shows whether it crashes another upstream.
 */
const checkCrashSuspicion = (context: VmContext, request: ClassifiedRequest): Result<ReadonlySet<UpstreamId>, Refusal> => {
  const { crashSuspects: suspects } = context
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
      retryAfterMilliseconds: crashSuspectRetryMilliseconds
    }))
  }
  return Result.ok(new Set([...suspicion.diedOn, ...suspects.upstreamsWithSuspects()]))
}

const logChoice = (context: VmContext, request: ClassifiedRequest, assignment: Assignment): void => {
  context.log.info('routing-decision', {
    request: request.id,
    team: request.team,
    route: request.route.name,
    choice: assignment.kind === RoutingChoiceKind.Run ? assignment.upstream : `${assignment.region}/${assignment.vm}`,
    runnerUp: assignment.kind === RoutingChoiceKind.Run ? assignment.runnerUp : undefined,
    reason: assignment.reason
  })
}

const refusalOfError = (context: VmContext, request: ClassifiedRequest, error: UpstreamError): Refusal => {
  const detail = `${request.route.name}: ${error.message}`
  if (error.kind === UpstreamErrorKind.NotSent) return refuse(RefusalReason.UpstreamFailed, detail)
  if (error.kind === UpstreamErrorKind.Aborted) return refusalOfAbort(context, request, Outcome.Unknown)
  return refuse(RefusalReason.UpstreamFailed, detail, { outcome: Outcome.Unknown })
}

const send = async (
  context: VmContext,
  request: ClassifiedRequest,
  assignment: Assignment
): Promise<Result<RunningExchange, UpstreamError>> => {
  if (assignment.kind === RoutingChoiceKind.Run) return await attemptOnUpstream(context, request, assignment.upstream)
  context.metrics.forwards.inc({ region: assignment.region })
  return await forwardRequest(context, request, assignment.vm)
}

/** Collects the answer of an idempotent request, unless it is a stream. The request can then be retried unnoticed by the caller. */
const attemptOnce = async (
  context: VmContext,
  request: ClassifiedRequest,
  assignment: Assignment
): Promise<Result<RunningExchange, UpstreamError>> => {
  const sent = await send(context, request, assignment)
  if (sent.isErr || !request.route.idempotent || isEventStream(sent.value.exchange)) return sent
  const collected = await collectAnswer(sent.value.exchange)
  await sent.value.finish(collected.isErr ? collected.error : undefined)
  return collected.map((answer) => ({ ...sent.value, collected: answer }))
}

const isRepeatable = (request: ClassifiedRequest, error: UpstreamError): boolean => {
  if (error.kind === UpstreamErrorKind.NotSent) return true
  const mayHaveRun = error.kind === UpstreamErrorKind.Broken || error.kind === UpstreamErrorKind.Silent
  return mayHaveRun && request.route.idempotent
}

const releaseAssignment = (context: VmContext, request: ClassifiedRequest, assignment: Assignment): void => {
  if (assignment.kind === RoutingChoiceKind.Run) context.scheduler.release(assignment.upstream, { team: request.team, succeeded: true })
}

const sleep = async (milliseconds: number): Promise<void> =>
  await new Promise((resolve) => setTimeout(resolve, milliseconds))

/** Waits for the backoff before a retry; false if no retry is allowed. */
const awaitRetry = async (context: VmContext, request: ClassifiedRequest, attempts: number): Promise<boolean> => {
  const decision = context.retries.decide({
    team: request.team, attempts, remainingMilliseconds: request.deadlineAt - context.clock.monotonic()
  })
  if (decision.kind === RetryDecisionKind.GiveUp) {
    context.log.info('retry-refused', { request: request.id, team: request.team, reason: decision.reason })
    return false
  }
  context.metrics.retries.inc()
  await sleep(decision.delayMilliseconds)
  return true
}

/** Checks that must pass in the turn of the event loop in which the request is sent. */
const checkBeforeSend = (context: VmContext, request: ClassifiedRequest): Result<undefined, Refusal> => {
  if (request.signal.aborted) return Result.err(refusalOfAbort(context, request, Outcome.NotRun))
  return checkKeyInForce(context, request)
}

/**
 * Attempts a request until the head of an answer arrives or no further attempt is allowed. Once an
 * attempt may have run, a later refusal keeps the outcome `unknown`: "not run" would be false of that attempt.
 */
export const executeRequest = async (
  context: VmContext,
  request: ClassifiedRequest,
  observer: SendObserver = noObserver
): Promise<Result<RunningExchange, Refusal>> => {
  const failedUpstreams = new Set<UpstreamId>()
  let lastRefusal: Refusal | undefined
  context.retries.started(request.team)
  for (let attempts = 1; ; attempts += 1) {
    const suspicionExclusions = checkCrashSuspicion(context, request)
    if (suspicionExclusions.isErr) return Result.err(combineRefusals(lastRefusal, suspicionExclusions.error))
    const acquired = await context.scheduler.acquire(request, new Set([...failedUpstreams, ...suspicionExclusions.value]))
    if (acquired.isErr) {
      const { aborted } = request.signal
      return Result.err(combineRefusals(lastRefusal, aborted ? refusalOfAbort(context, request, Outcome.NotRun) : acquired.error))
    }
    const assignment = acquired.value
    const sendCheck = checkBeforeSend(context, request)
    if (sendCheck.isErr) {
      releaseAssignment(context, request, assignment)
      return Result.err(combineRefusals(lastRefusal, sendCheck.error))
    }
    logChoice(context, request, assignment)
    observer.onSend()
    const result = await attemptOnce(context, request, assignment)
    if (result.isOk) return Result.ok(result.value)
    if (result.error.kind === UpstreamErrorKind.NotSent) observer.onNotSent()
    lastRefusal = combineRefusals(lastRefusal, refusalOfError(context, request, result.error))
    if (!isRepeatable(request, result.error) || !await awaitRetry(context, request, attempts)) return Result.err(lastRefusal)
    if (assignment.kind === RoutingChoiceKind.Run) failedUpstreams.add(assignment.upstream)
  }
}

/** The later refusal, with the outcome `unknown` if an earlier attempt may have run. */
const combineRefusals = (earlier: Refusal | undefined, later: Refusal): Refusal => {
  const mayHaveRun = earlier?.outcome === Outcome.Unknown && later.outcome === Outcome.NotRun
  return mayHaveRun ? { ...later, outcome: Outcome.Unknown } : later
}
