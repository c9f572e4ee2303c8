/**
 * A WebSocket link that this gateway process dials to another one, and dials
 * again after it is lost. Pings detect a peer that went away without closing
 * the connection.
 */

import { WebSocket } from 'ws'
import { linkDialTimeoutMilliseconds, linkPingIntervalMilliseconds, linkPongTimeoutMilliseconds, maximumLinkMessageBytes, peerConnectTimeoutMilliseconds, unreachableMilliseconds } from './constants.js'
import type { Clock } from '@cuminvale/common'
import type { Log } from '@cuminvale/logs'

export const linkPath = '/link'

export interface OutgoingLinkOptions {
  /** Host and port. */
  readonly address: string
  readonly clock: Clock
  readonly log: Log
  readonly onOpen: () => void
  readonly onClosed: () => void
  readonly onMessage: (data: Buffer) => void
}

export class OutgoingLink {
  /** Monotonic time at which the link was last needed. */
  lastNeededAt = 0
  /** Whether the other VM, a seed or a hub, is asked for all VMs that it knows. */
  isAsking = false
  /** Peer table serial up to which VMs were named to the other VM. */
  sentSerial = 0
  private socket: WebSocket | undefined
  private dialledAt = -Infinity
  private lostAt = -Infinity
  private pingedAt = 0
  private pongAt = 0
  /** Times at which pings were sent by request, by what their pongs repeat. */
  private readonly requested = new Map<string, number>()
  private requestCount = 0
  private proof = { sentAt: -Infinity, arrivedAt: -Infinity }
  private isClosed = false

  constructor (private readonly options: OutgoingLinkOptions) {}

  get isOpen (): boolean {
    return this.socket?.readyState === WebSocket.OPEN
  }

  /** Whether the link is down, and was lost or could not be made recently. */
  get isUnreachable (): boolean {
    return !this.isOpen && this.options.clock.monotonic() - this.lostAt <= unreachableMilliseconds
  }

  /** Dials if the link is down, pings if a ping is due, and closes a connection whose ping went unanswered or that does not open in time. */
  maintain (retryIntervalMilliseconds: number): void {
    const { address, clock, log } = this.options
    const now = clock.monotonic()
    if (this.socket === undefined) {
      if (now - this.dialledAt >= retryIntervalMilliseconds) this.dial()
      return
    }
    if (!this.isOpen) {
      // The timeout of the handshake begins anew with each byte that arrives.
      if (now - this.dialledAt > linkDialTimeoutMilliseconds) this.socket.terminate()
      return
    }
    if (this.pingedAt > this.pongAt) {
      if (now - this.pingedAt <= linkPongTimeoutMilliseconds) return
      log.warn('link-silent', { address })
      this.lostAt = now
      this.socket.terminate()
    } else if (now - this.pingedAt >= linkPingIntervalMilliseconds) {
      this.pingedAt = now
      this.socket.ping()
    }
  }

  /** The last ping by request that was answered: when it was sent, and when its pong came. */
  get lastProof (): { readonly sentAt: number, readonly arrivedAt: number } {
    return this.proof
  }

  /** Pings the other VM now. What it sent before its pong has then been read. */
  requestProof (): void {
    if (!this.isOpen) return
    this.requestCount += 1
    const name = String(this.requestCount)
    this.requested.set(name, this.options.clock.monotonic())
    this.socket?.ping(name)
  }

  send (message: Buffer): void {
    if (this.isOpen) this.socket?.send(message)
  }

  /** Closes a link that is no longer needed. */
  close (): void {
    this.isClosed = true
    this.socket?.terminate()
  }

  private dial (): void {
    const { address, clock, log, onOpen, onClosed, onMessage } = this.options
    this.dialledAt = clock.monotonic()
    const socket = new WebSocket(`ws://${address}${linkPath}`, {
      perMessageDeflate: false, handshakeTimeout: peerConnectTimeoutMilliseconds, maxPayload: maximumLinkMessageBytes
    })
    this.socket = socket
    socket.on('open', () => {
      this.pingedAt = this.pongAt = clock.monotonic()
      this.lostAt = -Infinity
      log.info('link-up', { address })
      onOpen()
    })
    socket.on('pong', (data) => {
      this.pongAt = clock.monotonic()
      const name = data.toString()
      const sentAt = this.requested.get(name)
      this.requested.delete(name)
      if (sentAt !== undefined) this.proof = { sentAt, arrivedAt: this.pongAt }
    })
    socket.on('message', (data) => onMessage(data as Buffer))
    socket.on('error', (error) => log.warn('link-error', { address, detail: error.message }))
    socket.on('close', () => {
      if (this.socket !== socket) return
      this.socket = undefined
      this.requested.clear()
      this.lostAt = clock.monotonic()
      if (this.isClosed) log.info('link-closed', { address })
      else log.warn('link-down', { address })
      onClosed()
    })
  }
}
