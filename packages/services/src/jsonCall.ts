/**
 * One JSON call to a platform service, with a timeout and a schema. Every
 * failure is returned as a `PlatformError`; nothing is thrown.
 */

import { request } from 'undici'
import { Result } from 'true-myth'
import type { Dispatcher } from 'undici'
import type { z } from 'zod'
import { PlatformError, PlatformErrorKind } from './errors.js'

export interface JsonCall<Schema extends z.ZodType> {
  readonly url: string
  readonly schema: Schema
  readonly method?: Dispatcher.HttpMethod
  readonly body?: unknown
  readonly timeoutMilliseconds: number
  readonly dispatcher?: Dispatcher
}

const firstNonSuccessStatus = 300

const toPlatformError = (error: unknown): PlatformError => {
  const detail = error instanceof Error ? error.message : String(error)
  const isTimeout = error instanceof Error && (error.name === 'TimeoutError' || error.name.endsWith('TimeoutError'))
  return new PlatformError(isTimeout ? PlatformErrorKind.Timeout : PlatformErrorKind.Unreachable, detail)
}

export const callJson = async <Schema extends z.ZodType>(
  call: JsonCall<Schema>
): Promise<Result<z.output<Schema>, PlatformError>> => {
  try {
    const response = await request(call.url, {
      method: call.method ?? 'GET',
      signal: AbortSignal.timeout(call.timeoutMilliseconds),
      ...(call.body === undefined
        ? {}
        : { body: JSON.stringify(call.body), headers: { 'content-type': 'application/json' } }),
      ...(call.dispatcher === undefined ? {} : { dispatcher: call.dispatcher })
    })
    const text = await response.body.text()
    if (response.statusCode >= firstNonSuccessStatus) {
      return Result.err(new PlatformError(PlatformErrorKind.Refused, `HTTP status ${response.statusCode}: ${text}`))
    }
    return parseAnswer(text, call.schema)
  } catch (error) {
    return Result.err(toPlatformError(error))
  }
}

const parseAnswer = <Schema extends z.ZodType>(
  text: string,
  schema: Schema
): Result<z.output<Schema>, PlatformError> => {
  try {
    const parsed = schema.safeParse(JSON.parse(text))
    if (parsed.success) return Result.ok(parsed.data)
    return Result.err(new PlatformError(PlatformErrorKind.Malformed, parsed.error.message))
  } catch {
    return Result.err(new PlatformError(PlatformErrorKind.Malformed, 'the answer is not valid JSON'))
  }
}
