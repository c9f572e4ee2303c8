/**
 * What a VM holds for one connection of a caller beside the bodies: the
 * connection itself, its open requests, and the answers that the caller doesn't
 * read. Without an open request it may be closed when there is no room, and with
 * unread answers reset.
 */

import { connectionCostBytes, exchangeCostBytes, maximumOpenRequests, unreadCostBytes } from './constants.js'
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerMemory, MemoryHolder } from './callerMemory.js'

/** The parser keeps the fields of a head as strings beside the bytes that it copies. */
const headCostFactor = 2

export interface ConnectionHoldingOptions {
  readonly socket: Socket
  readonly exchanges: ReadonlySet<ServerResponse>
  /** Undefined if connections are only limited by their number. */
  readonly memory: CallerMemory | undefined
}

export class ConnectionHolding {
  private readonly holder: MemoryHolder | undefined
  private sentBytes = 0
  /** Time of the last byte that was sent. */
  private sentAt = performance.now()

  constructor (private readonly options: ConnectionHoldingOptions) {
    const { socket, exchanges } = options
    this.holder = options.memory?.hold({
      canGiveWay: () => {
        this.recordSent()
        return exchanges.size === 0 || this.unsentBytes > 0
      },
      giveWay: () => exchanges.size === 0 ? socket.destroy() : socket.resetAndDestroy()
    })
  }

  /** Counts a new connection; false if there is no room for it. */
  open (): boolean {
    return this.holder?.grow(connectionCostBytes) !== false
  }

  /** Counts what it holds now, with the bytes of a head that isn't complete. */
  measure (headBytes = 0): void {
    this.recordSent()
    const { size } = this.options.exchanges
    const unreadBytes = size < maximumOpenRequests ? 0 : unreadCostBytes
    this.holder?.resize(connectionCostBytes + size * exchangeCostBytes + unreadBytes + headCostFactor * headBytes + this.unsentBytes)
  }

  /** Counts the rest of an answer that wasn't sent at once. */
  recordWrite ({ writableLength }: ServerResponse): void {
    if (writableLength > 0) this.measure()
  }

  /** Time for which the caller has read none of what is to be sent; 0 if nothing is. */
  unreadMilliseconds (now: number): number {
    this.recordSent()
    return this.unsentBytes === 0 ? 0 : now - this.sentAt
  }

  release (): void {
    this.holder?.release()
  }

  /** Bytes of answers that wait in the responses and in the socket. */
  private get unsentBytes (): number {
    const { socket, exchanges } = this.options
    let bytes = socket.writableLength
    for (const response of exchanges) {
      // That of a response with a socket includes the socket's.
      if (response.socket === null) bytes += response.writableLength
    }
    return bytes
  }

  private recordSent (): void {
    const { socket } = this.options
    const sentBytes = socket.bytesWritten - socket.writableLength
    if (sentBytes === this.sentBytes) return
    this.holder?.recordProgress(sentBytes - this.sentBytes)
    if (this.unsentBytes === 0) this.holder?.restart()
    this.sentBytes = sentBytes
    this.sentAt = performance.now()
  }
}
