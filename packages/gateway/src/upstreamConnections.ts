/**
 * Connections to upstreams, one request at a time on each. A connection whose
 * request did not end cleanly is closed, so that a late answer never meets
 * the next request.
 */

import { Client, buildConnector } from 'undici'
import { orderIdleMilliseconds, upstreamConnectMilliseconds, upstreamIdleMilliseconds } from './constants.js'
import type { Socket } from 'node:net'
import type { Clock, UpstreamId } from '@cuminvale/common'
import type { AnnouncedUpstream } from '@cuminvale/serving'

export interface UpstreamConnection {
  readonly client: Client
  readonly upstream: UpstreamId
  idleSince: number
  /** Whether the socket failed; undici takes a reset for the end of an answer that has no length. */
  wasReset: boolean
  /** Whether the upstream closed its side; undici takes that for the end of a chunked answer, too. */
  wasEnded: boolean
  /** Whether the answer under way has no length, and ends when the upstream closes. */
  endsByClose: boolean
}

export interface UpstreamConnectionsOptions {
  readonly clock: Clock
  readonly onOpened: () => void
}

// The socket stays writable after the upstream's end, for wasResetUnseen.
const connector = buildConnector({ timeout: upstreamConnectMilliseconds, allowHalfOpen: true })

const lineEnd = '\r\n'

/**
 * Whether the connection was reset though it looks closed: libuv reports a
 * reset that comes together with data as an end of file. Writing to a closed
 * connection works once more; to a reset one it fails at once.
 */
const wasResetUnseen = (socket: Socket): boolean => {
  socket.write(lineEnd)
  return socket.errored !== null
}

export class UpstreamConnections {
  private readonly idle = new Map<UpstreamId, UpstreamConnection[]>()

  constructor (private readonly options: UpstreamConnectionsOptions) {}

  /** Takes the connection that was used last, or a new one. */
  acquire (upstream: AnnouncedUpstream, isOrder: boolean): UpstreamConnection {
    const held = this.idle.get(upstream.id)
    const now = this.options.clock.monotonic()
    const mostIdle = isOrder ? orderIdleMilliseconds : upstreamIdleMilliseconds
    for (let connection = held?.pop(); connection !== undefined; connection = held?.pop()) {
      const isUsable = now - connection.idleSince <= mostIdle && !connection.client.destroyed
      if (isUsable) return connection
      if (isOrder && now - connection.idleSince <= upstreamIdleMilliseconds) {
        held?.push(connection)
        break
      }
      this.drop(connection)
    }
    return this.open(upstream)
  }

  release (connection: UpstreamConnection): void {
    connection.idleSince = this.options.clock.monotonic()
    const held = this.idle.get(connection.upstream)
    if (held === undefined) this.idle.set(connection.upstream, [connection])
    else held.push(connection)
  }

  drop (connection: UpstreamConnection): void {
    connection.client.destroy().catch(() => { /* destroy() only rejects on a second call */ })
  }

  /** Closes what was not used for a while. */
  sweep (): void {
    const now = this.options.clock.monotonic()
    for (const [upstream, connections] of this.idle) {
      const kept = connections.filter((connection) => now - connection.idleSince <= upstreamIdleMilliseconds && !connection.client.destroyed)
      connections.filter((connection) => !kept.includes(connection)).forEach((connection) => this.drop(connection))
      if (kept.length === 0) this.idle.delete(upstream)
      else this.idle.set(upstream, kept)
    }
  }

  closeAll (): void {
    for (const connections of this.idle.values()) connections.forEach((connection) => this.drop(connection))
    this.idle.clear()
  }

  private open (upstream: AnnouncedUpstream): UpstreamConnection {
    const connection = { upstream: upstream.id, idleSince: 0, wasReset: false, wasEnded: false, endsByClose: false }
    const client = new Client(`http://${upstream.host}:${upstream.port}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: upstreamIdleMilliseconds + 1_000,
      connect: (options, callback) => connector(options, (error, socket) => {
        if (error !== null) return callback(error, null)
        connection.wasReset = connection.wasEnded = false
        socket.on('error', () => { connection.wasReset = true })
        socket.on('end', () => {
          connection.wasEnded = true
          connection.wasReset ||= connection.endsByClose && wasResetUnseen(socket)
        })
        callback(null, socket)
      })
    })
    client.on('connect', this.options.onOpened)
    return Object.assign(connection, { client })
  }
}
