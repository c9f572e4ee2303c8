/**
 * Pool of upstream connections of the gateway process, each with one request at
 * a time. A connection whose request did not end cleanly is closed, so that a
 * late answer can't be taken for that of the next request.
 */

import { verifyEnd } from '@cuminvale/connections'
import { Client, buildConnector } from 'undici'
import { DetachedCalls } from './detachedCalls.js'
import { ReadLimit } from './readLimit.js'
import { maximumAnswerOverheadBytes, orderIdleTimeoutMilliseconds, promptlyReadBytes, upstreamConnectTimeoutMilliseconds, upstreamIdleTimeoutMilliseconds } from './constants.js'
import type { Socket } from 'node:net'
import type { Clock, UpstreamId } from '@cuminvale/common'
import type { AnnouncedUpstream } from '@cuminvale/serving'
import type { CallerMemory } from './callerMemory.js'

export interface UpstreamConnection {
  readonly client: Client
  readonly upstream: UpstreamId
  idleSince: number
  /** Monotonic time at which the current connection was made; Infinity before. */
  openedAt: number
  /** Whether this VM has closed it. */
  isDropped: boolean
  /** Whether the socket failed. Undici takes a reset for the end of an answer that has no length. */
  wasReset: boolean
  /** Whether the upstream closed its side. Undici takes that for the end even of a chunked answer. */
  wasEnded: boolean
  /** Whether the current answer has no length, so that the close of the connection ends it. */
  isCloseDelimited: boolean
  /** Bytes of the body of the current request. */
  uploadBytes: number
  /** Undefined before the connection was made. */
  socket: Socket | undefined
  /** Whether an answer was read on it; a copy of that may be read as the next one. */
  hasAnswered: boolean
  /** Whether it was opened for one request only. */
  readonly isSingleUse: boolean
  /** Counts what is no body since the request was sent, its answer began, or a part of the body came. */
  readonly overhead: ReadLimit
}

export interface ConnectionNeeds {
  /** Whether the request may be lost if the upstream has closed the connection meanwhile. */
  readonly isOrder: boolean
  /** Whether the connection must have had no request before, nor be used for another one. */
  readonly isSingleUse: boolean
}

export interface UpstreamConnectionsOptions {
  readonly clock: Clock
  /** Counts the bodies of calls whose answers nobody waits for. */
  readonly memory: CallerMemory
  readonly onOpened: () => void
  /** Called when a connection on which an upstream had answered ends other than by its keep-alive. */
  readonly onLost?: (upstream: UpstreamId) => void
  /** Called when the last connection to an upstream is closed. */
  readonly onUnwatched?: (upstream: UpstreamId) => void
}

const connectUpstream = buildConnector({ timeout: upstreamConnectTimeoutMilliseconds })

export class UpstreamConnections {
  /** Calls whose answers nobody waits for. */
  readonly detachedCalls: DetachedCalls
  private readonly openCounts = new Map<UpstreamId, number>()
  private readonly idleByUpstream = new Map<UpstreamId, UpstreamConnection[]>()

  constructor (private readonly options: UpstreamConnectionsOptions) {
    this.detachedCalls = new DetachedCalls(options.clock)
  }

  get memory (): CallerMemory {
    return this.options.memory
  }

  /** Returns the most recently used idle connection, or a new one. */
  acquire (upstream: AnnouncedUpstream, { isOrder, isSingleUse }: ConnectionNeeds): UpstreamConnection {
    if (isSingleUse) return this.open(upstream, isSingleUse)
    const idleConnections = this.idleByUpstream.get(upstream.id)
    const now = this.options.clock.monotonic()
    const maximumIdleMilliseconds = isOrder ? orderIdleTimeoutMilliseconds : upstreamIdleTimeoutMilliseconds
    for (let connection = idleConnections?.pop(); connection !== undefined; connection = idleConnections?.pop()) {
      const isUsable = now - connection.idleSince <= maximumIdleMilliseconds && !connection.client.destroyed
      if (isUsable) return connection
      if (isOrder && now - connection.idleSince <= upstreamIdleTimeoutMilliseconds) {
        idleConnections?.push(connection)
        break
      }
      this.drop(connection)
    }
    return this.open(upstream, isSingleUse)
  }

  release (connection: UpstreamConnection): void {
    if (connection.isSingleUse) return this.drop(connection)
    connection.idleSince = this.options.clock.monotonic()
    const idleConnections = this.idleByUpstream.get(connection.upstream)
    if (idleConnections === undefined) this.idleByUpstream.set(connection.upstream, [connection])
    else idleConnections.push(connection)
  }

  drop (connection: UpstreamConnection): void {
    connection.isDropped = true
    connection.client.destroy().catch(() => { /* destroy() only rejects on a second call */ })
  }

  /** Closes the connections whose idle timeout has expired. */
  closeExpired (): void {
    const now = this.options.clock.monotonic()
    for (const [upstream, connections] of this.idleByUpstream) {
      const kept = connections.filter((connection) => now - connection.idleSince <= upstreamIdleTimeoutMilliseconds && !connection.client.destroyed)
      connections.filter((connection) => !kept.includes(connection)).forEach((connection) => this.drop(connection))
      if (kept.length === 0) this.idleByUpstream.delete(upstream)
      else this.idleByUpstream.set(upstream, kept)
    }
  }

  closeAll (): void {
    for (const connections of this.idleByUpstream.values()) connections.forEach((connection) => this.drop(connection))
    this.idleByUpstream.clear()
  }

  private open (upstream: AnnouncedUpstream, isSingleUse: boolean): UpstreamConnection {
    const connection = { upstream: upstream.id, idleSince: 0, openedAt: Infinity, isDropped: false, wasReset: false, wasEnded: false, isCloseDelimited: false, uploadBytes: 0, socket: undefined as Socket | undefined, hasAnswered: false, isSingleUse, overhead: new ReadLimit(maximumAnswerOverheadBytes) }
    const client = new Client(`http://${upstream.host}:${upstream.port}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      // Never reached: undici makes an error for each further field, which costs more than the field.
      maxHeaderSize: 2 * maximumAnswerOverheadBytes,
      keepAliveTimeout: upstreamIdleTimeoutMilliseconds + 1_000,
      connect: (options, callback) => connectUpstream(options, (error, socket) => {
        if (error !== null) return callback(error, null)
        connection.wasReset = connection.wasEnded = connection.hasAnswered = false
        connection.openedAt = this.options.clock.monotonic()
        connection.socket = socket
        connection.overhead.watch(socket)
        socket.on('error', () => { connection.wasReset = true })
        socket.on('end', () => { connection.wasEnded = true })
        verifyEnd(socket, { mustVerify: () => connection.isCloseDelimited, mayBeUnread: () => connection.uploadBytes > promptlyReadBytes })
        callback(null, socket)
      })
    })
    client.on('connect', () => {
      this.openCounts.set(upstream.id, (this.openCounts.get(upstream.id) ?? 0) + 1)
      this.options.onOpened()
    })
    client.on('disconnect', (_origin, _targets, error) => this.handleDisconnect(connection, error))
    return Object.assign(connection, { client })
  }

  private handleDisconnect ({ upstream, isDropped, hasAnswered }: Pick<UpstreamConnection, 'upstream' | 'isDropped' | 'hasAnswered'>, { code }: Error & { code?: string }): void {
    const open = (this.openCounts.get(upstream) ?? 1) - 1
    if (open > 0) this.openCounts.set(upstream, open)
    else this.openCounts.delete(upstream)
    // Undici closes a connection by itself when its keep-alive is over, or after an answer that asked for it.
    if (!isDropped && hasAnswered && code !== 'UND_ERR_INFO') this.options.onLost?.(upstream)
    else if (open <= 0) this.options.onUnwatched?.(upstream)
  }
}
