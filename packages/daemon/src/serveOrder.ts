/**
 * Serves a non-idempotent request under its ticket. Only the incarnation that
 * minted the ticket runs it; any other VM forwards to that one, and says
 * `unknown` where it cannot be reached.
 */

import { Result } from 'true-myth'
import { Outcome, RefusalReason, headerNames, refuse } from '@cuminvale/common'
import { OrderStep } from '@cuminvale/orders'
import type { ServerResponse } from 'node:http'
import type { Refusal } from '@cuminvale/common'
import type { OrderResult, ParsedTicket } from '@cuminvale/orders'
import { collectAnswer } from './answer.js'
import { execute } from './execution.js'
import { forwardRequest } from './forwardRequest.js'
import { chargeRequest, copyOutcome, countCompleted, logRefusal, settleCharge, writeAnswerHead } from './requestAccounting.js'
import { requestTokens } from './gatewayRequest.js'
import { sendRefusal } from './problemDocument.js'
import type { CollectedAnswer } from './answer.js'
import type { RunningExchange } from './upstreamAttempt.js'
import type { GatewayRequest } from './gatewayRequest.js'
import type { VmContext } from './vmContext.js'

const refuseOrder = (
  context: VmContext,
  request: GatewayRequest,
  response: ServerResponse,
  refusal: Refusal
): void => {
  logRefusal(context, request, refusal)
  const offersTicket = refusal.outcome === Outcome.NotRun && request.hops === 0
  if (offersTicket) response.setHeader(headerNames.ticket, context.mint.mint(request.team))
  sendRefusal(response, refusal)
}

/** The refusal in a forwarded answer, where it is one. */
const statedOutcome = (running: RunningExchange): string => {
  const stated = running.exchange.headers[headerNames.outcome]
  return typeof stated === 'string' ? stated : Outcome.Done
}

const orderResultOf = (context: VmContext, ticket: ParsedTicket, running: RunningExchange, answer: CollectedAnswer): OrderResult => {
  if (!running.forwarded || statedOutcome(running) === Outcome.Done) return Result.ok(answer)
  const isNotRun = statedOutcome(running) === Outcome.NotRun
  if (isNotRun) context.ledger.retractSend(ticket.ticket)
  return Result.err(refuse(
    isNotRun ? RefusalReason.NoUpstream : RefusalReason.OutcomeUnknown,
    `${running.servedBy} answered ${answer.status}`,
    { outcome: isNotRun ? Outcome.NotRun : Outcome.Unknown }
  ))
}

const finishOrder = async (
  context: VmContext,
  request: GatewayRequest,
  ticket: ParsedTicket,
  running: RunningExchange
): Promise<OrderResult> => {
  if (!running.forwarded) context.meter.begin(request.id)
  const collected = await collectAnswer(running.exchange)
  await running.finish(collected.isErr ? collected.error : undefined)
  if (collected.isErr) {
    context.meter.abandon(request.id)
    return Result.err(refuse(RefusalReason.OutcomeUnknown, collected.error.message, { outcome: Outcome.Unknown }))
  }
  if (!running.forwarded) countCompleted(context, request, requestTokens(request))
  return orderResultOf(context, ticket, running, collected.value)
}

/** Runs the order once and returns its final result. */
const runOrder = async (context: VmContext, request: GatewayRequest, ticket: ParsedTicket): Promise<OrderResult> => {
  const charge = chargeRequest(context, request)
  if (charge.isErr) return Result.err(charge.error)
  const running = await execute(context, request, {
    onSend: () => context.ledger.markSent(ticket.ticket),
    onNotSent: () => context.ledger.retractSend(ticket.ticket)
  })
  if (running.isErr) {
    const neverRan = running.error.outcome === Outcome.NotRun
    settleCharge(context, charge.value, neverRan ? 0 : requestTokens(request))
    return Result.err(running.error)
  }
  return await finishOrder(context, request, ticket, running.value)
}

/** An order goes on when its caller leaves: the caller will ask again under its ticket. */
const detached = (request: GatewayRequest): GatewayRequest =>
  ({ ...request, signal: new AbortController().signal })

const serveOwn = async (context: VmContext, request: GatewayRequest, ticket: ParsedTicket): Promise<OrderResult> => {
  if (!context.mint.isGenuine(ticket) || ticket.ticket.team !== request.team) {
    return Result.err(refuse(RefusalReason.TicketInvalid, 'the ticket was not minted for this team'))
  }
  const decision = context.ledger.begin(ticket.ticket)
  if (decision.step === OrderStep.Refuse) return Result.err(decision.refusal)
  if (decision.step === OrderStep.Repeat) return await decision.result
  const result = await runOrder(context, detached(request), ticket)
  context.ledger.end(ticket.ticket, result)
  return result
}

const unreachable = (ticket: ParsedTicket): Refusal =>
  refuse(RefusalReason.OutcomeUnknown, `${ticket.ticket.vm}, which minted the ticket, cannot be reached`, {
    outcome: Outcome.Unknown
  })

const forwardOrder = async (
  context: VmContext,
  request: GatewayRequest,
  ticket: ParsedTicket,
  response: ServerResponse
): Promise<void> => {
  const member = context.membership.find(ticket.ticket.vm)
  const isSameIncarnation = member?.reachable === true && member.incarnation === ticket.ticket.incarnation
  if (!isSameIncarnation || request.hops > 0) return refuseOrder(context, request, response, unreachable(ticket))
  const running = await forwardRequest(context, request, ticket.ticket.vm)
  const collected = running.isErr ? undefined : await collectAnswer(running.value.exchange)
  if (running.isErr || collected === undefined || collected.isErr) {
    return refuseOrder(context, request, response, unreachable(ticket))
  }
  copyOutcome(response, running.value)
  response.writeHead(collected.value.status, {
    'content-type': collected.value.contentType, 'content-length': collected.value.body.length
  })
  response.end(collected.value.body)
}

export const serveOrder = async (
  context: VmContext,
  request: GatewayRequest,
  response: ServerResponse
): Promise<void> => {
  if (request.ticketText === undefined) {
    return refuseOrder(context, request, response, refuse(RefusalReason.TicketRequired,
      `send the order again with the header ${headerNames.ticket} that comes with this answer`))
  }
  const { ticket } = request
  if (ticket === undefined) {
    return refuseOrder(context, request, response, refuse(RefusalReason.TicketInvalid, 'the ticket is malformed'))
  }
  const mustRunHere = context.mint.isOwn(ticket.ticket)
  const wasSentHereToRun = request.hops > 0 && !mustRunHere
  if (!mustRunHere && !wasSentHereToRun) return await forwardOrder(context, request, ticket, response)
  const result = mustRunHere
    ? await serveOwn(context, request, ticket)
    : await runForeign(context, request)
  if (result.isErr) return refuseOrder(context, request, response, result.error)
  writeAnswerHead(response, result.value as CollectedAnswer, context.identity.vm)
  response.end(result.value.body)
}

/** Runs an order for the VM that minted its ticket, which sends each order to one VM once. */
const runForeign = async (context: VmContext, request: GatewayRequest): Promise<OrderResult> => {
  const running = await execute(context, detached(request))
  if (running.isErr) return Result.err(running.error)
  context.meter.begin(request.id)
  const collected = await collectAnswer(running.value.exchange)
  await running.value.finish(collected.isErr ? collected.error : undefined)
  if (collected.isErr) {
    context.meter.abandon(request.id)
    return Result.err(refuse(RefusalReason.OutcomeUnknown, collected.error.message, { outcome: Outcome.Unknown }))
  }
  countCompleted(context, request, requestTokens(request))
  return Result.ok(collected.value)
}
