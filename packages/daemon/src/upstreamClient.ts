/**
 * HTTP client of the daemon for upstreams and other VMs, with one undici pool per origin. Aborting an
 * exchange destroys its connection, so that no later request can read its answer.
 */

import { isAnswerStatus } from '@cuminvale/common'
import { verifyEnd } from '@cuminvale/connections'
import { Client, Pool, buildConnector, errors } from 'undici'
import { Result } from 'true-myth'
import type { Dispatcher } from 'undici'
import { idleConnectionTimeoutMilliseconds, upstreamConnectTimeoutMilliseconds } from './constants.js'
import { UpstreamError, UpstreamErrorKind } from './errors.js'

export interface ExchangeRequest {
  readonly origin: string
  readonly path: string
  readonly method: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly signal: AbortSignal
  /** Longest wait for the head of the answer. */
  readonly headTimeoutMilliseconds: number
  /** Longest wait between two chunks of the body. */
  readonly idleTimeoutMilliseconds: number
  /** Uses a new connection instead of a pooled one, on which the request could be lost if it is silent. */
  readonly usesNewConnection: boolean
}

export interface Exchange {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Dispatcher.ResponseData['body']
}

const connectErrorCodes: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']
const timeoutErrorCodes: readonly string[] = ['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']
const maximumConnectionsPerOrigin = 256
const resetCode = 'UPSTREAM_RESET'

const connectSocket = buildConnector({ timeout: upstreamConnectTimeoutMilliseconds })

/** Undici takes ECONNRESET for the end of an answer that has no length; another code makes it fail the answer. */
const connectUpstream: buildConnector.connector = (options, callback) => connectSocket(options, (error, socket) => {
  if (error !== null) return callback(error, null)
  socket.on('error', (socketError: NodeJS.ErrnoException) => {
    if (socketError.code === 'ECONNRESET') socketError.code = resetCode
  })
  // Whether an answer is under way, and what ends it, isn't known here; an idle connection ends without a delay.
  verifyEnd(socket, { mustVerify: () => true, mayBeUnread: () => false })
  callback(null, socket)
})

/** Classifies an error of undici or of the socket. */
export const toUpstreamError = (error: unknown): UpstreamError => {
  const { code, message, name } = error as { code?: string, message?: string, name?: string }
  if (name === 'AbortError' || error instanceof errors.RequestAbortedError) {
    return new UpstreamError(UpstreamErrorKind.Aborted, 'the caller went away')
  }
  return new UpstreamError(kindOfCode(code ?? ''), message ?? String(error))
}

const kindOfCode = (code: string): UpstreamErrorKind => {
  if (connectErrorCodes.includes(code)) return UpstreamErrorKind.NotSent
  return timeoutErrorCodes.includes(code) ? UpstreamErrorKind.Silent : UpstreamErrorKind.Broken
}

/** An established connection can fail with a connect error code after the request was sent, which then counts as broken. */
const brokenOnceConnected = (error: UpstreamError, isConnected: boolean): UpstreamError => {
  const mayHaveBeenSent = isConnected && error.kind === UpstreamErrorKind.NotSent
  return mayHaveBeenSent ? new UpstreamError(UpstreamErrorKind.Broken, error.message) : error
}

export class UpstreamClient {
  private readonly pools = new Map<string, Pool>()

  async exchange (request: ExchangeRequest): Promise<Result<Exchange, UpstreamError>> {
    const dispatcher = request.usesNewConnection ? this.createClient(request.origin) : this.pool(request.origin)
    let isConnected = false
    if (request.usesNewConnection) dispatcher.once('connect', () => { isConnected = true })
    try {
      const response = await dispatcher.request({
        path: request.path,
        method: request.method as Dispatcher.HttpMethod,
        headers: request.headers,
        body: request.body.length > 0 ? request.body : null,
        signal: request.signal,
        headersTimeout: request.headTimeoutMilliseconds,
        bodyTimeout: request.idleTimeoutMilliseconds
      })
      if (!isAnswerStatus(response.statusCode)) {
        response.body.on('error', () => { /* nobody waits for it */ }).destroy()
        throw new Error(`status ${response.statusCode} is none of HTTP`)
      }
      if (request.usesNewConnection) response.body.once('close', () => { dispatcher.destroy().catch(() => {}) })
      return Result.ok({ status: response.statusCode, headers: response.headers, body: response.body })
    } catch (error) {
      if (request.usesNewConnection) dispatcher.destroy().catch(() => {})
      return Result.err(brokenOnceConnected(toUpstreamError(error), isConnected))
    }
  }

  /**
   * Stops reusing the pooled connections to an origin after one of them became silent, since the same
   * fault may affect the others. Exchanges in progress complete.
   */
  retirePool (origin: string): void {
    const pool = this.pools.get(origin)
    if (pool === undefined) return
    this.pools.delete(origin)
    pool.close().catch(() => {})
  }

  async close (): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()))
    this.pools.clear()
  }

  private createClient (origin: string): Client {
    return new Client(origin, { connect: connectUpstream, pipelining: 1 })
  }

  private pool (origin: string): Pool {
    const existing = this.pools.get(origin)
    if (existing !== undefined) return existing
    const pool = new Pool(origin, {
      connections: maximumConnectionsPerOrigin,
      pipelining: 1,
      connect: connectUpstream,
      keepAliveTimeout: idleConnectionTimeoutMilliseconds
    })
    this.pools.set(origin, pool)
    return pool
  }
}
