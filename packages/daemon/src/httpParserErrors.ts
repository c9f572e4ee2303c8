/**
 * Answers for requests of callers that Node's HTTP parser rejects: invalid syntax, too many header bytes,
 * heads that arrive too slowly, and bodies with invalid framing.
 */

import { STATUS_CODES } from 'node:http'
import { RefusalReason, headerNames, refuse } from '@cuminvale/common'
import type { IncomingMessage, Server } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Refusal } from '@cuminvale/common'
import { problemOf } from './problemDocument.js'
import type { VmContext } from './vmContext.js'

interface ParserError extends Error {
  readonly code?: string
}

const socketsWithParserErrors = new WeakSet<Duplex>()

const refusalOfParserError = (error: ParserError): Refusal => {
  if (error.code === 'HPE_HEADER_OVERFLOW') return refuse(RefusalReason.HeadersTooLarge, 'the headers are too long')
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') return refuse(RefusalReason.BodyTimeout, 'the request took too long to arrive')
  if (error.code === 'HPE_INVALID_EOF_STATE') return refuse(RefusalReason.BodyTruncated, 'the request ended early')
  return refuse(RefusalReason.RequestInvalid, `the request is not valid HTTP: ${error.code ?? error.message}`)
}

const rawResponse = (context: VmContext, refusal: Refusal): string => {
  const problem = problemOf(refusal)
  const body = JSON.stringify(problem)
  return [
    `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status] ?? ''}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    `${headerNames.vm}: ${context.identity.vm}`,
    `${headerNames.requestId}: ${context.requestIds.next()}`,
    `${headerNames.outcome}: ${refusal.outcome}`,
    'connection: close',
    '',
    body
  ].join('\r\n')
}

/** Whether the parser rejected bytes after the request on its connection. Such a request is not run. */
export const hasParserError = (incoming: IncomingMessage): boolean => socketsWithParserErrors.has(incoming.socket)

export const answerParserErrors = (server: Server, context: VmContext): void => {
  server.on('clientError', (error: ParserError, socket: Duplex) => {
    socketsWithParserErrors.add(socket)
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const refusal = refusalOfParserError(error)
    context.metrics.refusals.inc({ reason: refusal.reason })
    context.log.info('refusal', { reason: refusal.reason, detail: refusal.detail })
    socket.end(rawResponse(context, refusal))
  })
}
