/**
 * HTTP server of the daemon for callers. The gateway process of the users' platform has a server of its own.
 */

import { createServer } from 'node:http'
import { headerNames, RefusalReason, refuse } from '@cuminvale/common'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Refusal } from '@cuminvale/common'
import { answerEntries } from './entriesEndpoint.js'
import { RequestHandler } from './requestHandler.js'
import { allowedMethods, checkMethod, formatAllowedMethods } from './allowedMethods.js'
import { serveWhileKeyInForce } from './keyWithdrawal.js'
import { answerModels } from './modelsEndpoint.js'
import { refusalForCaller } from './refusalForCaller.js'
import { sendRefusal } from './problemDocument.js'
import { answerParserErrors } from './httpParserErrors.js'
import { logRefusal } from './requestAccounting.js'
import { receiveRequest } from './receiveRequest.js'
import { pathOf } from './requestPath.js'
import type { VmContext } from './vmContext.js'

const requestTimeoutMarginMilliseconds = 5_000
const timeoutCheckIntervalMilliseconds = 500
/** Time for which the rest of a refused body is read and discarded, so that a TCP reset does not discard the refusal. */
const refusedBodyDrainMilliseconds = 1_000
const noContentStatus = 204
/** `rawHeaders` lists each name and each value as one entry. */
const rawEntriesPerHeader = 2

interface CallerExchange {
  readonly incoming: IncomingMessage
  readonly response: ServerResponse
  /** Whether the caller waits for `100 Continue` before it sends the body. */
  readonly isContinueExpected: boolean
}

/** Aborted when the caller's connection closes before the whole answer has been sent. */
export const disconnectSignal = (response: ServerResponse): AbortSignal => {
  const controller = new AbortController()
  response.on('close', () => {
    if (!response.writableFinished) controller.abort()
  })
  return controller.signal
}

/** Checks that depend on no route: the number of headers and the method. */
const checkHead = (context: VmContext, incoming: IncomingMessage): Refusal | undefined => {
  const limit = context.settings.requests['header-count-limit']
  if (incoming.rawHeaders.length > limit * rawEntriesPerHeader) {
    return refuse(RefusalReason.HeadersTooLarge, `there are more than ${limit} headers`)
  }
  return checkMethod(incoming.method ?? '', incoming.url ?? '/')
}

/** Refuses a request whose body may not have been read. */
const refuseBeforeServing = (context: VmContext, { incoming, response }: CallerExchange, refusal: Refusal): void => {
  context.metrics.refusals.inc({ reason: refusal.reason })
  context.log.info('refusal', {
    request: String(response.getHeader(headerNames.requestId)), reason: refusal.reason, detail: refusal.detail
  })
  sendRefusal(response, refusalForCaller(context, incoming, refusal))
  if (incoming.complete) return
  setTimeout(() => { if (!incoming.complete) incoming.destroy() }, refusedBodyDrainMilliseconds).unref()
}

const answerOptions = (incoming: IncomingMessage, response: ServerResponse): void => {
  response.writeHead(noContentStatus, { allow: formatAllowedMethods(allowedMethods(incoming.url ?? '/')) })
  response.end()
}

const handle = async (context: VmContext, requestHandler: RequestHandler, exchange: CallerExchange): Promise<void> => {
  const { incoming, response } = exchange
  const id = context.requestIds.next()
  response.setHeader(headerNames.vm, context.identity.vm)
  response.setHeader(headerNames.requestId, id)
  if (context.lifecycle.isDraining) response.setHeader('connection', 'close')
  if (incoming.method === 'OPTIONS') return answerOptions(incoming, response)
  const headRefusal = checkHead(context, incoming)
  if (headRefusal !== undefined) return refuseBeforeServing(context, exchange, headRefusal)
  const path = pathOf(incoming.url ?? '/')
  if (path === '/v1/entries') return await answerEntries(context, incoming, response)
  if (path === '/v1/models') return answerModels(context, incoming, response)
  const signal = disconnectSignal(response)
  const onBeforeBodyRead = (): void => { if (exchange.isContinueExpected) response.writeContinue() }
  const received = await receiveRequest(incoming, { context, id, signal, onBeforeBodyRead })
  if (received.isErr) return refuseBeforeServing(context, exchange, received.error)
  const request = received.value
  await serveWhileKeyInForce(context, request, async (watchedRequest) => await requestHandler.serve(watchedRequest, response))
  if (signal.aborted) logRefusal(context, request, refuse(RefusalReason.CallerGone, 'the caller went away'))
}

/** Counts the request as active while it is served. An unexpected error is logged and answered, and the daemon stays up. */
export const serveActiveRequest = async (
  context: VmContext,
  response: ServerResponse,
  work: () => Promise<void>
): Promise<void> => {
  context.lifecycle.beginRequest()
  try {
    await work()
  } catch (error) {
    context.log.error('request-failed', { detail: error instanceof Error ? error.stack : String(error) })
    sendRefusal(response, refuse(RefusalReason.InternalError, 'the gateway failed', { outcome: 'unknown' }))
  } finally {
    context.lifecycle.endRequest()
  }
}

export const createDaemonCallerServer = (context: VmContext): Server => {
  const requestHandler = new RequestHandler(context)
  const { requests } = context.settings
  const serveExchange = (incoming: IncomingMessage, response: ServerResponse, isContinueExpected: boolean): void => {
    serveActiveRequest(context, response, () => handle(context, requestHandler, { incoming, response, isContinueExpected }))
      .catch(() => response.destroy())
  }
  const server = createServer({
    maxHeaderSize: requests['header-limit-bytes'],
    requestTimeout: requests['body-timeout-milliseconds'] + requestTimeoutMarginMilliseconds,
    headersTimeout: requests['body-timeout-milliseconds'],
    connectionsCheckingInterval: timeoutCheckIntervalMilliseconds
  }, (incoming, response) => serveExchange(incoming, response, false))
  // Node silently drops headers above its limit; allowing one more lets `checkHead` detect the excess.
  server.maxHeadersCount = requests['header-count-limit'] + 1
  server.on('checkContinue', (incoming, response) => serveExchange(incoming, response, true))
  answerParserErrors(server, context)
  return server
}
