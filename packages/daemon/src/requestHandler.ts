/**
 * Serves one classified request in the daemon: charges the team, runs the request, sends the answer,
 * settles the charge and counts the usage. The gateway process of the users' platform has its own code for this.
 */

import { millisecondsPerSecond, Outcome, RefusalReason, refuse } from '@cuminvale/common'
import { Result } from 'true-myth'
import type { ServerResponse } from 'node:http'
import type { Refusal } from '@cuminvale/common'
import type { Charge } from '@cuminvale/limits'
import { contentTypeOf } from './collectAnswer.js'
import { endWithBody } from './endWithBody.js'
import { executeRequest } from './executeRequest.js'
import { UpstreamErrorKind } from './errors.js'
import { estimatedRequestTokens } from './classifiedRequest.js'
import { refusalOfAbort } from './keyWithdrawal.js'
import { problemOf, sendRefusal } from './problemDocument.js'
import { chargeRequest, setOutcomeHeaders, countCompleted, logRefusal, settleCharge } from './requestAccounting.js'
import { serveOrder } from './serveOrder.js'
import { relayStream } from './relayStream.js'
import { usedTokens } from './usedTokens.js'
import type { CollectedAnswer } from './collectAnswer.js'
import type { UpstreamError } from './errors.js'
import type { RunningExchange } from './upstreamAttempt.js'
import type { ClassifiedRequest } from './classifiedRequest.js'
import type { VmContext } from './vmContext.js'

const successStatusEnd = 400

export class RequestHandler {
  constructor (private readonly context: VmContext) {}

  /** Resolves once the answer or a refusal has been sent. */
  async serve (request: ClassifiedRequest, response: ServerResponse): Promise<void> {
    if (!request.route.idempotent) return await serveOrder(this.context, request, response)
    const charge = await chargeRequest(this.context, request)
    if (charge.isErr) return this.refuse(request, response, charge.error)
    const running = await executeRequest(this.context, request)
    if (running.isErr) {
      settleCharge(this.context, charge.value, 0)
      return this.refuse(request, response, running.error)
    }
    await this.answer(request, response, running.value, charge.value)
  }

  refuse (request: ClassifiedRequest, response: ServerResponse, refusal: Refusal): void {
    logRefusal(this.context, request, refusal)
    sendRefusal(response, refusal)
  }

  private async answer (
    request: ClassifiedRequest,
    response: ServerResponse,
    running: RunningExchange,
    charge: Charge | undefined
  ): Promise<void> {
    const { context } = this
    const secondsToFirstByte = (context.clock.monotonic() - request.arrivedAt) / millisecondsPerSecond
    context.metrics.firstByteSeconds.observe({ route: request.route.name }, secondsToFirstByte)
    if (!running.forwarded) context.usageMeter.begin(request.id)
    const tokens = running.collected === undefined
      ? await this.stream(request, response, running)
      : this.sendCollected(request, response, running, running.collected)
    await running.finish(tokens.isErr ? tokens.error : undefined)
    settleCharge(context, charge, tokens.unwrapOr(estimatedRequestTokens(request)))
    if (tokens.isErr) {
      context.usageMeter.abandon(request.id)
      return
    }
    if (!running.forwarded && running.exchange.status < successStatusEnd) countCompleted(context, request, tokens.value)
    else context.usageMeter.abandon(request.id)
    context.metrics.requests.inc({ route: request.route.name, team: request.team, outcome: Outcome.Done })
  }

  private sendCollected (
    request: ClassifiedRequest,
    response: ServerResponse,
    running: RunningExchange,
    answer: CollectedAnswer
  ): Result<number, UpstreamError> {
    setOutcomeHeaders(response, running)
    response.writeHead(answer.status, {
      'content-type': answer.contentType, 'content-length': answer.body.length
    })
    endWithBody(response, answer.body)
    return Result.ok(usedTokens(request, answer))
  }

  private async stream (
    request: ClassifiedRequest,
    response: ServerResponse,
    running: RunningExchange
  ): Promise<Result<number, UpstreamError>> {
    setOutcomeHeaders(response, running)
    response.writeHead(running.exchange.status, {
      'content-type': contentTypeOf(running.exchange), 'cache-control': 'no-cache'
    })
    const relayedStream = await relayStream(running, response)
    if (relayedStream.isErr) {
      this.abortStream(request, response, relayedStream.error)
      return Result.err(relayedStream.error)
    }
    response.end()
    return Result.ok(relayedStream.value.usedTokens ?? request.promptTokens + relayedStream.value.events)
  }

  /** Ends a failed stream with an error event and closes the connection, so that it cannot pass for a complete answer. */
  private abortStream (request: ClassifiedRequest, response: ServerResponse, error: UpstreamError): void {
    const refusal = error.kind === UpstreamErrorKind.Aborted
      ? refusalOfAbort(this.context, request, Outcome.Unknown)
      : refuse(RefusalReason.UpstreamFailed, error.message, { outcome: Outcome.Unknown })
    logRefusal(this.context, request, refusal)
    if (response.destroyed) return
    response.write(`event: error\ndata: ${JSON.stringify({ error: problemOf(refusal) })}\n\n`, () => response.destroy())
  }
}
