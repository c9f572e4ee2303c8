/**
 * The HTTP edge for callers.
 */

import { createServer } from 'node:http'
import { headerNames, RefusalReason, refuse } from '@cuminvale/common'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { answerEntries } from './entriesEndpoint.js'
import { Gateway } from './gateway.js'
import { answerModels } from './modelsEndpoint.js'
import { refusalForCaller } from './orderRefusal.js'
import { sendRefusal } from './problemDocument.js'
import { logRefusal } from './requestAccounting.js'
import { receiveRequest } from './receiveRequest.js'
import type { VmContext } from './vmContext.js'

const requestTimeoutGraceMilliseconds = 5_000

/** A signal that is aborted when the caller goes away before its answer is whole. */
export const callerSignal = (response: ServerResponse): AbortSignal => {
  const controller = new AbortController()
  response.on('close', () => {
    if (!response.writableFinished) controller.abort()
  })
  return controller.signal
}

const handle = async (
  context: VmContext,
  gateway: Gateway,
  incoming: IncomingMessage,
  response: ServerResponse
): Promise<void> => {
  const id = context.requestIds.next()
  response.setHeader(headerNames.vm, context.identity.vm)
  response.setHeader(headerNames.requestId, id)
  if (context.lifecycle.isDraining) response.setHeader('connection', 'close')
  const path = incoming.url ?? '/'
  if (path.startsWith('/v1/entries')) return await answerEntries(context, incoming, response)
  if (path === '/v1/models') return answerModels(context, incoming, response)
  const signal = callerSignal(response)
  const received = await receiveRequest(incoming, { context, id, signal })
  if (received.isErr) {
    context.metrics.refusals.inc({ reason: received.error.reason })
    context.log.info('refusal', { request: id, reason: received.error.reason, detail: received.error.detail })
    sendRefusal(response, refusalForCaller(context, incoming, received.error))
    if (!incoming.complete) incoming.destroy()
    return
  }
  const request = received.value
  await gateway.serve(request, response)
  if (signal.aborted) logRefusal(context, request, refuse(RefusalReason.CallerGone, 'the caller went away'))
}

/** Serves one request and keeps the VM up whatever it holds. */
export const guard = async (
  context: VmContext,
  response: ServerResponse,
  work: () => Promise<void>
): Promise<void> => {
  context.lifecycle.begin()
  try {
    await work()
  } catch (error) {
    context.log.error('request-failed', { detail: error instanceof Error ? error.stack : String(error) })
    sendRefusal(response, refuse(RefusalReason.InternalError, 'the gateway failed', { outcome: 'unknown' }))
  } finally {
    context.lifecycle.end()
  }
}

export const createCallerServer = (context: VmContext): Server => {
  const gateway = new Gateway(context)
  const { requests } = context.settings
  return createServer({
    maxHeaderSize: requests['header-limit-bytes'],
    requestTimeout: requests['body-timeout-milliseconds'] + requestTimeoutGraceMilliseconds,
    headersTimeout: requests['body-timeout-milliseconds']
  }, (incoming, response) => {
    guard(context, response, () => handle(context, gateway, incoming, response)).catch(() => response.destroy())
  })
}
