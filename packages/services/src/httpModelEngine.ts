/**
 * HTTP client for the control interface of a model engine or a plain service.
 */

import { request } from 'undici'
import { Result } from 'true-myth'
import { z } from 'zod'
import { toModelName } from '@cuminvale/common'
import type { RequestId } from '@cuminvale/common'
import { PlatformError, PlatformErrorKind } from './errors.js'
import { callJson } from './jsonCall.js'
import { CacheEventKind } from './upstreamControl.js'
import type { CacheEvent, EngineOrder, EngineState, LoadReport, LoadSource, ModelEngine } from './upstreamControl.js'

const loadReportSchema = z.object({
  running: z.number().int().nonnegative(),
  queued: z.number().int().nonnegative(),
  ageMilliseconds: z.number().nonnegative(),
  leaving: z.boolean()
})
const cacheEventSchema = z.object({
  sequence: z.number().int(),
  kind: z.enum([CacheEventKind.Stored, CacheEventKind.Removed, CacheEventKind.Cleared]),
  prefix: z.string(),
  tokens: z.number().int().nonnegative()
})
const cacheEventsSchema = z.object({ events: z.array(cacheEventSchema) })
const engineStateSchema = z.object({
  loaded: z.array(z.string().transform(toModelName)),
  version: z.string(),
  role: z.string(),
  fence: z.number().int().nonnegative()
})
const cancelAnswerSchema = z.object({ done: z.boolean() })
const timeoutMilliseconds = 2_000
const cacheTransferTimeoutMilliseconds = 30_000

export class HttpLoadSource implements LoadSource {
  constructor (protected readonly base: string) {}

  async load (): Promise<Result<LoadReport, PlatformError>> {
    return await callJson({ url: `${this.base}/control/load`, schema: loadReportSchema, timeoutMilliseconds })
  }
}

export class HttpModelEngine extends HttpLoadSource implements ModelEngine {
  async cacheEvents (after: number): Promise<Result<readonly CacheEvent[], PlatformError>> {
    const answer = await callJson({
      url: `${this.base}/control/cache-events?after=${after}`, schema: cacheEventsSchema, timeoutMilliseconds
    })
    return answer.map(({ events }) => events)
  }

  async state (): Promise<Result<EngineState, PlatformError>> {
    return await callJson({ url: `${this.base}/control/state`, schema: engineStateSchema, timeoutMilliseconds })
  }

  async order (order: EngineOrder): Promise<Result<EngineState, PlatformError>> {
    return await callJson({
      url: `${this.base}/control/orders`, method: 'POST', body: order, schema: engineStateSchema, timeoutMilliseconds
    })
  }

  async cancel (id: RequestId): Promise<Result<boolean, PlatformError>> {
    const answer = await callJson({
      url: `${this.base}/control/cancel/${encodeURIComponent(id)}`, method: 'POST', schema: cancelAnswerSchema, timeoutMilliseconds
    })
    return answer.map(({ done }) => done)
  }

  async exportCache (prefix: string): Promise<Result<Uint8Array, PlatformError>> {
    try {
      const response = await request(`${this.base}/control/cache/${encodeURIComponent(prefix)}`, {
        signal: AbortSignal.timeout(cacheTransferTimeoutMilliseconds)
      })
      const content = await response.body.bytes()
      if (response.statusCode === 200) return Result.ok(content)
      return Result.err(new PlatformError(PlatformErrorKind.Refused, `HTTP status ${response.statusCode}`))
    } catch (error) {
      return Result.err(new PlatformError(PlatformErrorKind.Unreachable, String(error)))
    }
  }

  async importCache (prefix: string, content: Uint8Array): Promise<Result<boolean, PlatformError>> {
    try {
      const response = await request(`${this.base}/control/cache/${encodeURIComponent(prefix)}`, {
        method: 'PUT', body: content, signal: AbortSignal.timeout(cacheTransferTimeoutMilliseconds)
      })
      await response.body.dump()
      return Result.ok(response.statusCode === 200)
    } catch (error) {
      return Result.err(new PlatformError(PlatformErrorKind.Unreachable, String(error)))
    }
  }
}
