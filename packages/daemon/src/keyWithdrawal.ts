/**
 * Ends the requests of a withdrawn key: a queued request is refused at once, a running one is
 * cancelled, and a stream is ended with an error event. An order that was sent to an upstream
 * completes, since it cannot be undone.
 */

import { RefusalReason, refuse } from '@cuminvale/common'
import { isKeyInForce } from '@cuminvale/keys'
import type { Outcome, Refusal } from '@cuminvale/common'
import type { ClassifiedRequest } from './classifiedRequest.js'
import type { VmContext } from './vmContext.js'

export interface KeyWithdrawalWatch {
  readonly signal: AbortSignal
  readonly unsubscribe: () => void
}

const isRequestKeyInForce = (context: VmContext, { identity }: ClassifiedRequest): boolean => {
  const configuration = context.configuration.current
  return identity === undefined || (configuration !== undefined && isKeyInForce(identity, configuration))
}

/** The refusal of an aborted request: its caller disconnected or its key was withdrawn. */
export const refusalOfAbort = (context: VmContext, request: ClassifiedRequest, outcome: Outcome): Refusal =>
  isRequestKeyInForce(context, request)
    ? refuse(RefusalReason.CallerGone, 'the caller went away', { outcome })
    : refuse(RefusalReason.KeyUnknown, 'the key was withdrawn', { outcome })

/** Returns a signal that is aborted when the request's key is withdrawn, unless unsubscribed before. */
export const watchKeyWithdrawal = (context: VmContext, { identity }: ClassifiedRequest): KeyWithdrawalWatch => {
  const withdrawn = new AbortController()
  if (identity === undefined) return { signal: withdrawn.signal, unsubscribe: () => {} }
  return { signal: withdrawn.signal, unsubscribe: context.requestsByKey.add(identity, () => withdrawn.abort()) }
}

/** Serves a request whose signal is aborted when its caller disconnects or its key is withdrawn. */
export const serveWhileKeyInForce = async (
  context: VmContext,
  request: ClassifiedRequest,
  serve: (request: ClassifiedRequest) => Promise<void>
): Promise<void> => {
  const { signal: withdrawn, unsubscribe: forget } = watchKeyWithdrawal(context, request)
  const signal = AbortSignal.any([request.signal, withdrawn])
  try {
    await serve({ ...request, signal })
  } finally {
    forget()
  }
}
