/**
 * Reads the whole body of a request within a size limit and a timeout.
 */

import { Result } from 'true-myth'
import { RefusalReason, refuse } from '@cuminvale/common'
import type { IncomingMessage } from 'node:http'
import type { Refusal } from '@cuminvale/common'

export interface ReadBodyOptions {
  readonly limitBytes: number
  readonly timeoutMilliseconds: number
  /** Called just before the body is read, unless its declared length exceeds the limit. */
  readonly onBeforeBodyRead?: () => void
}

const bodyTooLargeRefusal = (limits: ReadBodyOptions): Refusal =>
  refuse(RefusalReason.BodyTooLarge, `the body is longer than ${limits.limitBytes} bytes`)

export const readBody = (request: IncomingMessage, limits: ReadBodyOptions): Promise<Result<Buffer, Refusal>> => {
  if (Number(request.headers['content-length'] ?? 0) > limits.limitBytes) {
    return Promise.resolve(Result.err(bodyTooLargeRefusal(limits)))
  }
  limits.onBeforeBodyRead?.()
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let length = 0
    const finish = (result: Result<Buffer, Refusal>): void => {
      clearTimeout(timer)
      request.removeAllListeners('data')
      resolve(result)
    }
    const timer = setTimeout(() => finish(Result.err(
      refuse(RefusalReason.BodyTimeout, `the body did not arrive within ${limits.timeoutMilliseconds} ms`)
    )), limits.timeoutMilliseconds)
    request.on('data', (chunk: Buffer) => {
      length += chunk.length
      if (length > limits.limitBytes) return finish(Result.err(bodyTooLargeRefusal(limits)))
      chunks.push(chunk)
    })
    request.on('end', () => finish(Result.ok(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks))))
    request.on('error', () => finish(Result.err(refuse(RefusalReason.BodyTruncated, 'the body ended early'))))
    request.on('aborted', () => finish(Result.err(refuse(RefusalReason.BodyTruncated, 'the body ended early'))))
  })
}
