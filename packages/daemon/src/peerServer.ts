/**
 * Server of the daemon for other VMs: accepts forwarded requests over HTTP and links over WebSocket.
 */

import { createServer } from 'node:http'
import { headerNames, RefusalReason, refuse } from '@cuminvale/common'
import { createAnswerProof, readUnverifiedNonce } from '@cuminvale/keys'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { disconnectSignal, serveActiveRequest } from './daemonCallerServer.js'
import { answerProofHeaderName, forwardPath } from './forwardRequest.js'
import { RequestHandler } from './requestHandler.js'
import { serveWhileKeyInForce } from './keyWithdrawal.js'
import { sendRefusal } from './problemDocument.js'
import { receiveForward } from './receiveForward.js'
import type { VmContext } from './vmContext.js'

const forwardHeaderLimitBytes = 65_536

const handle = async (
  context: VmContext,
  requestHandler: RequestHandler,
  incoming: IncomingMessage,
  response: ServerResponse
): Promise<void> => {
  response.setHeader(headerNames.vm, context.identity.vm)
  if (incoming.url !== forwardPath) return sendRefusal(response, refuse(RefusalReason.RouteUnknown, 'no such path'))
  const nonce = readUnverifiedNonce(String(incoming.headers[headerNames.forwarded] ?? ''))
  if (nonce !== undefined) response.setHeader(answerProofHeaderName, createAnswerProof(nonce, context.fleetSecret.signing))
  const signal = disconnectSignal(response)
  const received = await receiveForward(incoming, context, signal)
  if (received.isErr) {
    context.metrics.refusals.inc({ reason: received.error.reason })
    return sendRefusal(response, received.error)
  }
  await serveWhileKeyInForce(context, received.value, async (request) => await requestHandler.serve(request, response))
}

export const createPeerServer = (context: VmContext): Server => {
  const requestHandler = new RequestHandler(context)
  return createServer({ maxHeaderSize: forwardHeaderLimitBytes }, (incoming, response) => {
    serveActiveRequest(context, response, () => handle(context, requestHandler, incoming, response)).catch(() => response.destroy())
  })
}
