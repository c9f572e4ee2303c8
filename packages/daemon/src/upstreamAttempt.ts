/**
 * One attempt of a request on an upstream of this region, and the bookkeeping
 * that its end calls for: slots, ejection, silent connections and suspicion.
 */

import { Result } from 'true-myth'
import { headerNames } from '@cuminvale/common'
import { digestRequest } from '@cuminvale/routing'
import type { UpstreamId } from '@cuminvale/common'
import type { RequestDigest } from '@cuminvale/routing'
import { attemptLimits } from './attemptLimits.js'
import { UpstreamErrorKind } from './errors.js'
import { isUpstreamDead } from './deathProbe.js'
import { confirmInvariants } from './sendInvariants.js'
import type { CollectedAnswer } from './answer.js'
import type { UpstreamError } from './errors.js'
import type { GatewayRequest } from './gatewayRequest.js'
import type { Exchange, ExchangeRequest } from './upstreamClient.js'
import type { VmContext } from './vmContext.js'

/** An answer whose head has arrived; `finish` must be called when its body has ended or failed. */
export interface RunningExchange {
  readonly exchange: Exchange
  /** The whole answer, where it was read before it is passed on. */
  readonly collected?: CollectedAnswer
  readonly servedBy: string
  readonly forwarded: boolean
  /** Resolves when what the end tells about the upstream has been noted. */
  readonly finish: (error?: UpstreamError) => Promise<void>
  /** Continues a broken stream after that many events, on the upstream that ran it. */
  readonly resume?: (eventsReceived: number) => Promise<Result<Exchange, UpstreamError>>
}

const resumeHeaderName = 'cuminvale-resume-from'

const upstreamHeaders = (request: GatewayRequest): Record<string, string> => ({
  'content-type': request.contentType,
  [headerNames.requestId]: request.id,
  ...(request.authorization === undefined ? {} : { authorization: request.authorization })
})

export const requestDigestOf = (request: GatewayRequest): RequestDigest =>
  digestRequest({ team: request.team, route: request.route.name, body: request.body })

const exchangeRequest = (context: VmContext, request: GatewayRequest, origin: string): ExchangeRequest => ({
  origin,
  path: request.path,
  method: request.method,
  headers: upstreamHeaders(request),
  body: request.body,
  signal: request.signal,
  ...attemptLimits(request, context.clock.monotonic()),
  freshConnection: !request.route.idempotent
})

const isUpstreamFault = (error: UpstreamError | undefined): boolean =>
  error !== undefined && error.kind !== UpstreamErrorKind.Aborted

class AttemptEnd {
  private ended = false

  constructor (
    private readonly context: VmContext,
    private readonly request: GatewayRequest,
    private readonly upstream: UpstreamId,
    private readonly origin: string
  ) {}

  async note (error?: UpstreamError): Promise<void> {
    if (this.ended) return
    this.ended = true
    if (error?.kind === UpstreamErrorKind.Silent) this.context.upstreamClient.retire(this.origin)
    this.context.scheduler.release(this.upstream, { team: this.request.team, succeeded: !isUpstreamFault(error) })
    if (error?.kind === UpstreamErrorKind.Broken) return await this.noteBreak()
    if (this.context.suspects.isEmpty) return
    const digest = requestDigestOf(this.request)
    if (error === undefined) this.context.suspects.completed(digest)
    else this.context.suspects.ended(digest)
  }

  /** A broken connection is blamed on the request only where the upstream itself is gone. */
  private async noteBreak (): Promise<void> {
    const { context, request, upstream } = this
    const digest = requestDigestOf(request)
    if (!await isUpstreamDead(this.origin)) return context.suspects.ended(digest)
    context.log.warn('upstream-died', { upstream, request: request.id, team: request.team, digest })
    context.sendToPeers(context.suspicionSpread.report({ digest, team: request.team, upstream }))
  }
}

/** Sends the request to an upstream; on an error the end has been noted already. */
export const attemptOnUpstream = async (
  context: VmContext,
  request: GatewayRequest,
  upstreamId: UpstreamId
): Promise<Result<RunningExchange, UpstreamError>> => {
  const confirmed = confirmInvariants(context, request, context.table.find(upstreamId))
  const origin = confirmed.isOk ? confirmed.value.address : ''
  const end = new AttemptEnd(context, request, upstreamId, origin)
  if (confirmed.isErr) {
    await end.note(confirmed.error)
    return Result.err(confirmed.error)
  }
  if (!context.suspects.isEmpty) context.suspects.started(requestDigestOf(request), upstreamId)
  const sent = exchangeRequest(context, request, origin)
  const result = await context.upstreamClient.exchange(sent)
  if (result.isErr) await end.note(result.error)
  return result.map((exchange) => ({
    exchange,
    servedBy: upstreamId,
    forwarded: false,
    finish: async (error) => await end.note(error),
    resume: async (eventsReceived) => await context.upstreamClient.exchange({
      ...sent,
      ...attemptLimits(request, context.clock.monotonic()),
      headers: { ...sent.headers, [resumeHeaderName]: String(eventsReceived) },
      freshConnection: true
    })
  }))
}
