/**
 * Serves an order, which is a non-idempotent request, under its ticket. `OrderPolicy` decides which of
 * these applies: run the order, repeat its recorded answer, forward it to the VM that minted the ticket,
 * or look for a replicated copy of its outcome.
 */

import { Result } from 'true-myth'
import { Outcome, RefusalReason, headerNames, millisecondsPerSecond, refuse } from '@cuminvale/common'
import { digestBody } from '@cuminvale/keys'
import { OrderFinding } from '@cuminvale/messages'
import { OrderStep } from '@cuminvale/orders'
import type { ServerResponse } from 'node:http'
import type { Refusal, VmId } from '@cuminvale/common'
import type { OrderResult, ParsedTicket } from '@cuminvale/orders'
import type { RecordedAnswer } from '@cuminvale/messages'
import { collectAnswer } from './collectAnswer.js'
import { executeRequest } from './executeRequest.js'
import { forwardRequest } from './forwardRequest.js'
import { chargeRequest, setOutcomeHeaders, countCompleted, logRefusal, settleCharge, writeAnswerHead } from './requestAccounting.js'
import { estimatedRequestTokens } from './classifiedRequest.js'
import { watchKeyWithdrawal } from './keyWithdrawal.js'
import { sendRefusal } from './problemDocument.js'
import type { CollectedAnswer } from './collectAnswer.js'
import type { ClassifiedRequest } from './classifiedRequest.js'
import type { RunningExchange } from './upstreamAttempt.js'
import type { VmContext } from './vmContext.js'

const outcomeUnknownRetryMilliseconds = 2_000

/** One request for an order, with its parsed ticket. */
interface OrderCall {
  readonly context: VmContext
  readonly request: ClassifiedRequest
  readonly ticket: ParsedTicket
  readonly response: ServerResponse
}

type OrderResponse = Pick<OrderCall, 'context' | 'request' | 'response'>

/** Gives the caller a new ticket to send the order with; only the VM that received it from the caller does so. */
const setNewTicket = ({ context, request, response }: OrderResponse): void => {
  if (request.hops === 0) response.setHeader(headerNames.ticket, context.ticketMint.mint(request.team))
}

const refuseOrder = (call: OrderResponse, refusal: Refusal): void => {
  const { context, request, response } = call
  logRefusal(context, request, refusal)
  if (refusal.outcome === Outcome.NotRun) setNewTicket(call)
  if (refusal.retryAfterMilliseconds !== undefined) {
    response.setHeader('retry-after', Math.ceil(refusal.retryAfterMilliseconds / millisecondsPerSecond))
  }
  sendRefusal(response, refusal)
}

const sendAnswer = ({ context, response }: OrderCall, answer: RecordedAnswer): void => {
  writeAnswerHead(response, { ...answer, body: Buffer.from(answer.body) }, context.identity.vm)
  response.end(answer.body)
}

const sendResult = (call: OrderCall, result: OrderResult): void => {
  if (result.isErr) refuseOrder(call, result.error)
  else sendAnswer(call, result.value)
}

const outcomeUnknownRefusal = (detail: string): Refusal =>
  refuse(RefusalReason.OutcomeUnknown, detail, { outcome: Outcome.Unknown })

/** The outcome that a forwarded answer states. */
const statedOutcome = (running: RunningExchange): string => {
  const stated = running.exchange.headers[headerNames.outcome]
  return typeof stated === 'string' ? stated : Outcome.Unknown
}

/** Reads the answer of an order that this VM sent to an upstream. */
const readUpstreamAnswer = async (
  context: VmContext,
  request: ClassifiedRequest,
  running: RunningExchange
): Promise<OrderResult> => {
  context.usageMeter.begin(request.id)
  const collected = await collectAnswer(running.exchange)
  await running.finish(collected.isErr ? collected.error : undefined)
  if (collected.isErr) {
    context.usageMeter.abandon(request.id)
    return Result.err(outcomeUnknownRefusal(collected.error.message))
  }
  countCompleted(context, request, estimatedRequestTokens(request))
  return Result.ok(collected.value)
}

/** Reads the answer of the VM that the order was forwarded to. */
const readForwardedAnswer = async ({ context, ticket }: OrderCall, running: RunningExchange): Promise<OrderResult> => {
  const collected = await collectAnswer(running.exchange)
  await running.finish(collected.isErr ? collected.error : undefined)
  if (collected.isErr) return Result.err(outcomeUnknownRefusal(collected.error.message))
  const outcome = statedOutcome(running)
  const detail = `${running.servedBy} answered ${collected.value.status}`
  if (outcome === Outcome.Done) return Result.ok(collected.value)
  if (outcome !== Outcome.NotRun) return Result.err(outcomeUnknownRefusal(detail))
  context.ledger.retractSend(ticket.ticket)
  return Result.err(refuse(RefusalReason.NoUpstream, detail))
}

/** Replaces the request's signal. An order continues after its caller disconnects, which can ask again under the same ticket. */
const withSignal = (request: ClassifiedRequest, signal: AbortSignal = new AbortController().signal): ClassifiedRequest =>
  ({ ...request, signal })

const runOwnOrder = async (call: OrderCall): Promise<OrderResult> => {
  const { context, ticket } = call
  const keyWatch = watchKeyWithdrawal(context, call.request)
  const request = withSignal(call.request, keyWatch.signal)
  const charge = await chargeRequest(context, request)
  if (charge.isErr) return Result.err(charge.error)
  const running = await executeRequest(context, request, {
    onSend: () => {
      keyWatch.unsubscribe()
      context.ledger.markSent(ticket.ticket)
    },
    onNotSent: () => context.ledger.retractSend(ticket.ticket)
  })
  keyWatch.unsubscribe()
  if (running.isErr) {
    const isNotRun = running.error.outcome === Outcome.NotRun
    settleCharge(context, charge.value, isNotRun ? 0 : estimatedRequestTokens(request))
    return Result.err(running.error)
  }
  const isForwarded = running.value.forwarded
  return isForwarded ? await readForwardedAnswer(call, running.value) : await readUpstreamAnswer(context, request, running.value)
}

/** Runs the order and records its final result. An internal error leaves the outcome unknown. */
const runAndRecord = async (call: OrderCall): Promise<OrderResult> => {
  const { context, ticket } = call
  const result = await runOwnOrder(call).catch((error: unknown): OrderResult => {
    context.log.error('order-failed', { detail: error instanceof Error ? error.stack : String(error) })
    return Result.err(outcomeUnknownRefusal('the gateway failed while it ran the order'))
  })
  context.ledger.recordResult(ticket.ticket, result)
  if (result.isOk) context.orderReplication.copyResult(ticket, result.value)
  return result
}

/** Runs an order for the VM that minted its ticket, which forwards each order to one VM only, and only once. */
const runForMinter = async ({ context, request }: OrderCall): Promise<OrderResult> => {
  const running = await executeRequest(context, withSignal(request))
  if (running.isErr) return Result.err(running.error)
  return await readUpstreamAnswer(context, request, running.value)
}

/** Answers from a replicated copy of the outcome when the VM that minted the ticket cannot answer. */
const answerFromCopy = async (call: OrderCall): Promise<void> => {
  const { context, ticket } = call
  const found = await context.orderReplication.recall(ticket)
  if (found.finding === OrderFinding.Done && found.answer !== undefined) return sendAnswer(call, found.answer)
  if (found.finding === OrderFinding.NotRun) {
    return refuseOrder(call, refuse(RefusalReason.TicketSealed, `${ticket.ticket.vm} left without having run the order`))
  }
  refuseOrder(call, refuse(RefusalReason.OutcomeUnknown, `${ticket.ticket.vm}, which minted the ticket, cannot be reached`, {
    outcome: Outcome.Unknown, retryAfterMilliseconds: outcomeUnknownRetryMilliseconds
  }))
}

const relayAnswer = (call: OrderCall, running: RunningExchange, answer: CollectedAnswer): void => {
  const { response } = call
  setOutcomeHeaders(response, running)
  if (statedOutcome(running) === Outcome.NotRun) setNewTicket(call)
  response.writeHead(answer.status, { 'content-type': answer.contentType, 'content-length': answer.body.length })
  response.end(answer.body)
}

const forwardToMinter = async (call: OrderCall, minter: VmId): Promise<void> => {
  const running = await forwardRequest(call.context, call.request, minter)
  if (running.isErr) return await answerFromCopy(call)
  const collected = await collectAnswer(running.value.exchange)
  if (collected.isErr) return await answerFromCopy(call)
  relayAnswer(call, running.value, collected.value)
}

/** Identifies the request, so that a ticket cannot be reused for a different one. */
const orderDigest = ({ route, method, path, body }: ClassifiedRequest): string =>
  [route.name, method, path, digestBody(body)].join(' ')

const serveWithTicket = async (call: OrderCall): Promise<void> => {
  const { context, request, ticket } = call
  const decision = context.orderPolicy.decide({
    ticket,
    team: request.team,
    requestDigest: orderDigest(request),
    hops: request.hops,
    ...(request.runOnBehalfOf === undefined ? {} : { runOnBehalfOf: request.runOnBehalfOf })
  })
  switch (decision.step) {
    case OrderStep.Run: return sendResult(call, await runAndRecord(call))
    case OrderStep.Repeat: return sendResult(call, await decision.result)
    case OrderStep.RunForMinter: return sendResult(call, await runForMinter(call))
    case OrderStep.Forward: return await forwardToMinter(call, decision.to)
    case OrderStep.Recall: return await answerFromCopy(call)
    case OrderStep.Refuse: return refuseOrder(call, decision.refusal)
  }
}

export const serveOrder = async (
  context: VmContext,
  request: ClassifiedRequest,
  response: ServerResponse
): Promise<void> => {
  const call = { context, request, response }
  if (request.ticketText === undefined) {
    return refuseOrder(call, refuse(RefusalReason.TicketRequired,
      `send the order again with the header ${headerNames.ticket} that comes with this answer`))
  }
  const { ticket } = request
  if (ticket === undefined) return refuseOrder(call, refuse(RefusalReason.TicketInvalid, 'the ticket is malformed'))
  await serveWithTicket({ ...call, ticket })
}
