/**
 * Relays a streamed answer to its caller. A broken stream is resumed on the same upstream, without
 * repeating or losing an event.
 */

import { once } from 'node:events'
import { Result } from 'true-myth'
import type { ServerResponse } from 'node:http'
import { discardAnswer, isEventStream } from './collectAnswer.js'
import { maximumResumes, resumeDelayMilliseconds } from './constants.js'
import { UpstreamError, UpstreamErrorKind } from './errors.js'
import { EventStreamBuffer } from './eventStreamBuffer.js'
import { toUpstreamError } from './upstreamClient.js'
import type { RunningExchange } from './upstreamAttempt.js'
import type { Exchange } from './upstreamClient.js'

export interface RelayedStream {
  readonly events: number
  /** From the engine's usage report, if it sent one. */
  readonly usedTokens?: number
  readonly resumes: number
}

const successStatus = 200

const callerDisconnectedError = (): UpstreamError => new UpstreamError(UpstreamErrorKind.Aborted, 'the caller went away')

const writeWithBackpressure = async (response: ServerResponse, part: Buffer): Promise<void> => {
  if (response.write(part)) return
  await Promise.race([once(response, 'drain'), once(response, 'close')])
}

/** Relays the stream from one connection; returns undefined if the `[DONE]` marker arrived. */
const relayConnection = async (
  exchange: Exchange,
  eventBuffer: EventStreamBuffer,
  response: ServerResponse
): Promise<UpstreamError | undefined> => {
  try {
    for await (const chunk of exchange.body) {
      const part = eventBuffer.push(chunk as Buffer)
      if (response.destroyed) return callerDisconnectedError()
      if (part !== undefined) await writeWithBackpressure(response, part)
      if (eventBuffer.isForeign) return new UpstreamError(UpstreamErrorKind.Broken, 'the resumed stream holds what is no event')
      if (eventBuffer.exceedsLimit) return new UpstreamError(UpstreamErrorKind.TooLong, 'an event is over a megabyte')
    }
  } catch (error) {
    return eventBuffer.ended ? undefined : toUpstreamError(error)
  }
  if (eventBuffer.ended) return undefined
  return response.destroyed
    ? callerDisconnectedError()
    : new UpstreamError(UpstreamErrorKind.Broken, 'the stream ended without its end mark')
}

const isResumable = (error: UpstreamError): boolean =>
  error.kind === UpstreamErrorKind.Broken || error.kind === UpstreamErrorKind.Silent

const resumeStream = async (running: RunningExchange, eventBuffer: EventStreamBuffer): Promise<Exchange | undefined> => {
  await new Promise((resolve) => setTimeout(resolve, resumeDelayMilliseconds))
  const resumed = await running.resume?.(eventBuffer.eventCount)
  if (resumed === undefined || resumed.isErr) return undefined
  if (resumed.value.status === successStatus && isEventStream(resumed.value)) return resumed.value
  discardAnswer(resumed.value)
  return undefined
}

/** Relays until the `[DONE]` marker; an error means that it did not arrive. */
export const relayStream = async (
  running: RunningExchange,
  response: ServerResponse
): Promise<Result<RelayedStream, UpstreamError>> => {
  const eventBuffer = new EventStreamBuffer()
  let exchange = running.exchange
  for (let resumes = 0; ; resumes += 1) {
    const error = await relayConnection(exchange, eventBuffer, response)
    if (error === undefined) {
      const { eventCount, usedTokens } = eventBuffer
      return Result.ok({ events: eventCount, resumes, ...(usedTokens === undefined ? {} : { usedTokens }) })
    }
    if (!isResumable(error) || resumes === maximumResumes) return Result.err(error)
    eventBuffer.discardPartialEvent()
    const resumed = await resumeStream(running, eventBuffer)
    if (resumed === undefined) return Result.err(error)
    exchange = resumed
  }
}
