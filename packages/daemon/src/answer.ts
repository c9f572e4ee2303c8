/**
 * Answers on their way back: collected whole where they are short, relayed
 * event by event where they stream. An answer without its end is an error.
 */

import { once } from 'node:events'
import { Result } from 'true-myth'
import type { ServerResponse } from 'node:http'
import { responseLimitBytes } from './constants.js'
import { UpstreamError, UpstreamErrorKind } from './errors.js'
import { toUpstreamError } from './upstreamClient.js'
import type { Exchange } from './upstreamClient.js'

export interface CollectedAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
}

const eventStreamType = 'text/event-stream'
const endMark = 'data: [DONE]'
const eventStart = Buffer.from('data: ')
const endMarkWindowBytes = 64

export const contentTypeOf = (exchange: Exchange): string => {
  const value = exchange.headers['content-type']
  return typeof value === 'string' ? value : 'application/octet-stream'
}

export const isEventStream = (exchange: Exchange): boolean => contentTypeOf(exchange).startsWith(eventStreamType)

/** Reads the whole answer; a broken or overlong one is an error. */
export const collectAnswer = async (exchange: Exchange): Promise<Result<CollectedAnswer, UpstreamError>> => {
  const chunks: Buffer[] = []
  let length = 0
  try {
    for await (const chunk of exchange.body) {
      chunks.push(chunk as Buffer)
      length += (chunk as Buffer).length
      if (length > responseLimitBytes) {
        exchange.body.destroy()
        return Result.err(new UpstreamError(UpstreamErrorKind.TooLong, `answer is over ${responseLimitBytes} bytes`))
      }
    }
  } catch (error) {
    return Result.err(toUpstreamError(error))
  }
  return Result.ok({ status: exchange.status, contentType: contentTypeOf(exchange), body: Buffer.concat(chunks) })
}

/** Counts events and looks for the end mark of a stream, across chunks. */
export class EventInspector {
  private events = 0
  private tail: Buffer = Buffer.alloc(0)

  push (chunk: Buffer): void {
    let from = chunk.indexOf(eventStart)
    while (from >= 0) {
      this.events += 1
      from = chunk.indexOf(eventStart, from + eventStart.length)
    }
    const joined = chunk.length >= endMarkWindowBytes ? chunk : Buffer.concat([this.tail, chunk])
    this.tail = joined.subarray(-endMarkWindowBytes)
  }

  get eventCount (): number {
    return this.events
  }

  get ended (): boolean {
    return this.tail.toString('latin1').trimEnd().endsWith(endMark)
  }
}

export interface RelayEnd {
  readonly events: number
}

/** Relays a stream with backpressure; an error means that its end mark never came. */
export const relayEvents = async (
  exchange: Exchange,
  response: ServerResponse
): Promise<Result<RelayEnd, UpstreamError>> => {
  const inspector = new EventInspector()
  try {
    for await (const chunk of exchange.body) {
      inspector.push(chunk as Buffer)
      if (response.destroyed) return Result.err(new UpstreamError(UpstreamErrorKind.Aborted, 'the caller went away'))
      if (!response.write(chunk)) await Promise.race([once(response, 'drain'), once(response, 'close')])
    }
  } catch (error) {
    return Result.err(toUpstreamError(error))
  }
  if (inspector.ended) return Result.ok({ events: inspector.eventCount })
  return Result.err(new UpstreamError(UpstreamErrorKind.Broken, 'the stream ended without its end mark'))
}
