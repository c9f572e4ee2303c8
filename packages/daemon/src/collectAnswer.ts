/**
 * Collects an upstream's whole answer before any of it is passed to the caller. An answer that is
 * truncated or exceeds the size limit is an error, so that it cannot pass for a shorter, complete one.
 */

import { Result } from 'true-myth'
import { maximumCollectedAnswerBytes } from './constants.js'
import { UpstreamError, UpstreamErrorKind } from './errors.js'
import { toUpstreamError } from './upstreamClient.js'
import type { Exchange } from './upstreamClient.js'

export interface CollectedAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
}

const eventStreamType = 'text/event-stream'

export const contentTypeOf = (exchange: Exchange): string => {
  const value = exchange.headers['content-type']
  return typeof value === 'string' ? value : 'application/octet-stream'
}

export const isEventStream = (exchange: Exchange): boolean => contentTypeOf(exchange).startsWith(eventStreamType)

/** Closes the connection without reading the rest of the answer. */
export const discardAnswer = (exchange: Exchange): void => {
  exchange.body.on('error', () => {})
  exchange.body.destroy()
}

const joinChunks = (chunks: readonly Buffer[]): Buffer => {
  const [first] = chunks
  return first !== undefined && chunks.length === 1 ? first : Buffer.concat(chunks)
}

export const collectAnswer = (exchange: Exchange): Promise<Result<CollectedAnswer, UpstreamError>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = []
    let length = 0
    exchange.body.on('data', (chunk: Buffer) => {
      chunks.push(chunk)
      length += chunk.length
      if (length <= maximumCollectedAnswerBytes) return
      discardAnswer(exchange)
      resolve(Result.err(new UpstreamError(UpstreamErrorKind.TooLong, `answer is over ${maximumCollectedAnswerBytes} bytes`)))
    })
    exchange.body.once('error', (error) => resolve(Result.err(toUpstreamError(error))))
    exchange.body.once('end', () => resolve(Result.ok({
      status: exchange.status, contentType: contentTypeOf(exchange), body: joinChunks(chunks)
    })))
  })
