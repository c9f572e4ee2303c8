/**
 * One attempt of a request on an upstream of this VM's region. The end of the attempt releases the slot,
 * updates outlier ejection, retires silent connections and records crash suspicion.
 */

import { Result } from 'true-myth'
import { headerNames } from '@cuminvale/common'
import { digestRequest } from '@cuminvale/routing'
import type { UpstreamId } from '@cuminvale/common'
import type { RequestDigest } from '@cuminvale/routing'
import { attemptTimeouts } from './attemptTimeouts.js'
import { UpstreamErrorKind } from './errors.js'
import { isUpstreamDead } from './isUpstreamDead.js'
import { checkSendInvariants } from './sendInvariants.js'
import type { CollectedAnswer } from './collectAnswer.js'
import type { UpstreamError } from './errors.js'
import type { ClassifiedRequest } from './classifiedRequest.js'
import type { Exchange, ExchangeRequest } from './upstreamClient.js'
import type { VmContext } from './vmContext.js'

/** An answer whose head has arrived. `finish` must be called when its body has ended or failed. */
export interface RunningExchange {
  readonly exchange: Exchange
  /** The whole answer, if it was collected before any of it is passed on. */
  readonly collected?: CollectedAnswer
  /** Name of the upstream, or of the VM that the request was forwarded to. */
  readonly servedBy: string
  readonly forwarded: boolean
  /** Records how the attempt ended, and resolves once that is done. Later calls have no effect. */
  readonly finish: (error?: UpstreamError) => Promise<void>
  /** Resumes a broken stream on the same upstream after the given number of events. */
  readonly resume?: (eventsReceived: number) => Promise<Result<Exchange, UpstreamError>>
}

const resumeHeaderName = 'cuminvale-resume-from'

const upstreamHeaders = (request: ClassifiedRequest): Record<string, string> => ({
  'content-type': request.contentType,
  [headerNames.requestId]: request.id,
  ...(request.authorization === undefined ? {} : { authorization: request.authorization })
})

export const requestDigestOf = (request: ClassifiedRequest): RequestDigest =>
  digestRequest({ team: request.team, route: request.route.name, body: request.body })

const buildExchangeRequest = (context: VmContext, request: ClassifiedRequest, origin: string): ExchangeRequest => ({
  origin,
  path: request.path,
  method: request.method,
  headers: upstreamHeaders(request),
  body: request.body,
  signal: request.signal,
  ...attemptTimeouts(request, context.clock.monotonic()),
  usesNewConnection: !request.route.idempotent
})

const isUpstreamFault = (error: UpstreamError | undefined): boolean =>
  error !== undefined && error.kind !== UpstreamErrorKind.Aborted

/** Records the end of an attempt once. */
class AttemptRecorder {
  private ended = false

  constructor (
    private readonly context: VmContext,
    private readonly request: ClassifiedRequest,
    private readonly upstream: UpstreamId,
    private readonly origin: string
  ) {}

  async record (error?: UpstreamError): Promise<void> {
    if (this.ended) return
    this.ended = true
    if (error?.kind === UpstreamErrorKind.Silent) this.context.upstreamClient.retirePool(this.origin)
    this.context.scheduler.release(this.upstream, { team: this.request.team, succeeded: !isUpstreamFault(error) })
    if (error?.kind === UpstreamErrorKind.Broken) return await this.recordBrokenConnection()
    if (this.context.crashSuspects.isEmpty) return
    const digest = requestDigestOf(this.request)
    if (error === undefined) this.context.crashSuspects.completed(digest)
    else this.context.crashSuspects.ended(digest)
  }

  /** The request is suspected only if the upstream itself has died, not if just the connection broke. */
  private async recordBrokenConnection (): Promise<void> {
    const { context, request, upstream } = this
    const digest = requestDigestOf(request)
    if (!await isUpstreamDead(this.origin)) return context.crashSuspects.ended(digest)
    context.log.warn('upstream-died', { upstream, request: request.id, team: request.team, digest })
    context.sendToPeers(context.suspicionGossip.report({ digest, team: request.team, upstream }))
  }
}

/** Sends the request to an upstream. If it returns an error, the end of the attempt is already recorded. */
export const attemptOnUpstream = async (
  context: VmContext,
  request: ClassifiedRequest,
  upstreamId: UpstreamId
): Promise<Result<RunningExchange, UpstreamError>> => {
  const confirmed = checkSendInvariants(context, request, context.upstreamTable.find(upstreamId))
  const origin = confirmed.isOk ? confirmed.value.address : ''
  const recorder = new AttemptRecorder(context, request, upstreamId, origin)
  if (confirmed.isErr) {
    await recorder.record(confirmed.error)
    return Result.err(confirmed.error)
  }
  if (!context.crashSuspects.isEmpty) context.crashSuspects.started(requestDigestOf(request), upstreamId)
  const sentRequest = buildExchangeRequest(context, request, origin)
  const result = await context.upstreamClient.exchange(sentRequest)
  if (result.isErr) await recorder.record(result.error)
  return result.map((exchange) => ({
    exchange,
    servedBy: upstreamId,
    forwarded: false,
    finish: async (error) => await recorder.record(error),
    resume: async (eventsReceived) => await context.upstreamClient.exchange({
      ...sentRequest,
      ...attemptTimeouts(request, context.clock.monotonic()),
      headers: { ...sentRequest.headers, [resumeHeaderName]: String(eventsReceived) },
      usesNewConnection: true
    })
  }))
}
