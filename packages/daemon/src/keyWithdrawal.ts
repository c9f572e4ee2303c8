/**
 * Ends the requests of a withdrawn key: a queued request is refused at once, a running one is
 * cancelled, and a stream is ended with an error event. An order that was sent to an upstream
 * completes, since it cannot be undone.
 */

import { RefusalReason, refuse } from '@cuminvale/common'
import { isKeyInForce } from '@cuminvale/keys'
import type { Outcome, Refusal } from '@cuminvale/common'
import type { GatewayRequest } from './gatewayRequest.js'
import type { VmContext } from './vmContext.js'

export interface KeyWatch {
  readonly signal: AbortSignal
  readonly forget: () => void
}

const isRequestKeyInForce = (context: VmContext, { identity }: GatewayRequest): boolean => {
  const configuration = context.configuration.current
  return identity === undefined || (configuration !== undefined && isKeyInForce(identity, configuration))
}

/** The refusal of an aborted request: its caller disconnected or its key was withdrawn. */
export const refusalOfAbort = (context: VmContext, request: GatewayRequest, outcome: Outcome): Refusal =>
  isRequestKeyInForce(context, request)
    ? refuse(RefusalReason.CallerGone, 'the caller went away', { outcome })
    : refuse(RefusalReason.KeyUnknown, 'the key was withdrawn', { outcome })

/** Returns a signal that is aborted when the request's key is withdrawn, unless unsubscribed before. */
export const watchKey = (context: VmContext, { identity }: GatewayRequest): KeyWatch => {
  const withdrawn = new AbortController()
  if (identity === undefined) return { signal: withdrawn.signal, forget: () => {} }
  return { signal: withdrawn.signal, forget: context.keyedRequests.add(identity, () => withdrawn.abort()) }
}

/** Serves a request whose signal is aborted when its caller disconnects or its key is withdrawn. */
export const serveWhileWanted = async (
  context: VmContext,
  request: GatewayRequest,
  serve: (request: GatewayRequest) => Promise<void>
): Promise<void> => {
  const { signal: withdrawn, forget } = watchKey(context, request)
  const signal = AbortSignal.any([request.signal, withdrawn])
  try {
    await serve({ ...request, signal })
  } finally {
    forget()
  }
}
