/**
 * What a VM holds for one connection of a caller beside long bodies: the
 * connection itself, its open requests, and the answers that the caller doesn't
 * read. It may be closed when there is no room, unless it has one whole request
 * that waits for its answer; with unread answers, or several requests, it is reset.
 */

import { connectionCostBytes, exchangeCostBytes, maximumOpenRequests, unreadCostBytes } from './constants.js'
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerMemory, MemoryHolder } from './callerMemory.js'

/** The parser keeps the fields of a head as strings beside the bytes that it copies. */
const headCostFactor = 2
/** Sent bytes that are counted with their connection; ordinary answers are shorter. */
const ordinarySentBytes = 65_536
/** Most that the kernel holds of what is sent on a connection, by its default. */
const sendBufferBytes = 4_194_304

export interface ConnectionHoldingOptions {
  readonly socket: Socket
  readonly exchanges: ReadonlySet<ServerResponse>
  /** Undefined if connections are only limited by their number. */
  readonly memory: CallerMemory | undefined
}

export class ConnectionHolding {
  private readonly holder: MemoryHolder | undefined
  private headBytes = 0
  private sentBytes = 0
  /** Bytes that were sent by the time at which the caller last asked for more than it had. */
  private readBytes = 0
  /** Time of the last byte that was sent, while some wait. */
  private sentAt = 0

  constructor (private readonly options: ConnectionHoldingOptions) {
    const { socket, exchanges } = options
    this.holder = options.memory?.hold({
      canGiveWay: () => exchanges.size !== 1 || this.hasUnreadRequest || this.recordSent(),
      giveWay: () => exchanges.size === 0 || this.hasUnreadRequest ? socket.destroy() : socket.resetAndDestroy()
    })
  }

  /** Counts a new connection; false if there is no room for it. */
  open (): boolean {
    return this.holder?.grow(connectionCostBytes) !== false
  }

  /** Counts a request that has begun. A caller that waits for its answers shows with the next request that it has read them. */
  begin ({ hasSentAhead }: { readonly hasSentAhead: boolean }): void {
    this.headBytes = 0
    if (!hasSentAhead) this.readBytes = this.takenBytes
    // The time for which it was idle is none without progress.
    if (this.options.exchanges.size === 1) this.holder?.restart()
    this.measure()
  }

  /** Counts a request no more. */
  end (): void {
    if (this.options.exchanges.size === 0) this.holder?.restart()
    this.measure()
  }

  /** Counts the bytes of a head that isn't complete. */
  recordLongHead (bytes: number): void {
    this.headBytes = bytes
    this.measure()
  }

  /** Counts what waits to be sent. */
  recordUnsent (): void {
    this.recordSent()
    this.measure()
  }

  /** Time for which the caller has read none of what is to be sent; 0 if nothing is. */
  unreadMilliseconds (now: number): number {
    return this.recordSent() ? now - this.sentAt : 0
  }

  release (): void {
    this.holder?.release()
  }

  /** Whether its only open request isn't whole, and so has not run. */
  private get hasUnreadRequest (): boolean {
    const { exchanges } = this.options
    const [first] = exchanges
    return exchanges.size === 1 && first?.req.complete === false && !first.headersSent
  }

  private measure (): void {
    if (this.holder === undefined) return
    const { size } = this.options.exchanges
    const unreadBytes = size < maximumOpenRequests ? 0 : unreadCostBytes
    this.holder.resize(connectionCostBytes + size * exchangeCostBytes + unreadBytes + headCostFactor * this.headBytes + this.unsentBytes + this.kernelBytes)
  }

  /** Bytes that the kernel has taken. */
  private get takenBytes (): number {
    const { socket } = this.options
    return socket.bytesWritten - socket.writableLength
  }

  /** What the kernel may hold of answers, as the caller hasn't shown that it has read them. */
  private get kernelBytes (): number {
    return Math.min(sendBufferBytes, Math.max(0, this.takenBytes - this.readBytes - ordinarySentBytes))
  }

  /** Bytes of answers that wait in the responses and in the socket. */
  private get unsentBytes (): number {
    const { socket, exchanges } = this.options
    let bytes = socket.writableLength
    if (exchanges.size < 2) return bytes
    for (const response of exchanges) {
      // That of a response with a socket includes the socket's.
      if (response.socket === null) bytes += response.writableLength
    }
    return bytes
  }

  /** Records what was sent since; false if nothing waits to be sent. */
  private recordSent (): boolean {
    if (this.unsentBytes === 0) return false
    const sentBytes = this.takenBytes
    if (sentBytes === this.sentBytes) return true
    this.holder?.recordProgress(sentBytes - this.sentBytes)
    this.sentBytes = sentBytes
    this.sentAt = performance.now()
    return true
  }
}
