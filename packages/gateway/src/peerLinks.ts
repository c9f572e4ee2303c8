/**
 * Links to the other VMs. Each VM dials every VM that it knows, seeds first,
 * and tells it in heartbeats what it needs to know. What arrives over a link
 * is believed of the VM that introduced itself on it.
 */

import { pack, unpack } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import { farHeartbeatEvery, linkRetryMilliseconds, linkSilentMilliseconds, maximumLinkMessageBytes, peerConnectMilliseconds, recordRequestMilliseconds } from './constants.js'
import type { PeerIdentity } from '@cuminvale/serving'
import type { Server } from 'node:http'
import type { HeartbeatMessage, LinkMessage } from './linkMessages.js'
import type { ServingState } from './servingState.js'

export const linkPath = '/link'

/** Heartbeats between two reports of requests that crash upstreams. */
const suspicionEvery = 5

interface OutgoingLink {
  readonly address: string
  socket: WebSocket | undefined
  dialledAt: number
  pingedAt: number
  answeredAt: number
  knownTold: number
}

export interface PeerLinksOptions {
  readonly state: ServingState
  readonly self: PeerIdentity
  readonly server: Server
  /** Whether this VM's own access to the published records fails. */
  readonly isSourceLost: () => boolean
  readonly onRecords: () => void
}

export class PeerLinks {
  private readonly outgoing = new Map<string, OutgoingLink>()
  private readonly incoming: WebSocketServer
  private beats = 0
  private seeds: readonly string[]
  private recordsAskedAt = -Infinity

  constructor (private readonly options: PeerLinksOptions) {
    this.seeds = options.state.settings.seeds
    this.incoming = new WebSocketServer({ server: options.server, path: linkPath, perMessageDeflate: false, maxPayload: maximumLinkMessageBytes })
    this.incoming.on('connection', (socket) => this.accept(socket))
    this.incoming.on('error', (error) => options.state.log.warn('link-server-error', { detail: error.message }))
  }

  useSeeds (seeds: readonly string[]): void {
    this.seeds = seeds
  }

  /** Sends the heartbeats that are due and repairs links. */
  tick (): void {
    const { state, self } = this.options
    this.beats += 1
    state.peers.forgetOld()
    const addresses = new Map<string, PeerIdentity | undefined>(this.seeds.map((seed) => [seed, undefined]))
    for (const peer of state.peers.known) addresses.set(peer.linkAddress, peer)
    addresses.delete(self.linkAddress)
    const near = this.heartbeat(true)
    const isFarTurn = this.beats % farHeartbeatEvery === 0
    const far = isFarTurn ? this.heartbeat(false) : undefined
    for (const [address, peer] of addresses) {
      const link = this.linkTo(address)
      this.keepUp(link)
      if (peer === undefined) continue
      const heartbeat = peer.region === self.region ? near : far
      if (heartbeat !== undefined) this.send(link, heartbeat)
    }
    for (const [address, link] of this.outgoing) {
      if (addresses.has(address)) continue
      link.socket?.terminate()
      this.outgoing.delete(address)
    }
    if (this.beats % suspicionEvery === 0) this.tellSuspicions()
    for (const peer of state.peers.known) {
      if (state.peers.isSilent(peer.linkAddress)) state.forgetLoads(peer.vm)
    }
  }

  private tellSuspicions (): void {
    const { state } = this.options
    for (const { to, message } of state.crashes.spread.tick()) {
      const peer = state.peers.known.find(({ vm }) => vm === to)
      const link = peer === undefined ? undefined : this.outgoing.get(peer.linkAddress)
      if (link !== undefined) this.send(link, pack(message))
    }
  }

  /** Tells every VM that this one stops. */
  leave (): void {
    const message = pack({ kind: 'leaving' } satisfies LinkMessage)
    for (const link of this.outgoing.values()) this.send(link, message)
  }

  close (): void {
    for (const link of this.outgoing.values()) link.socket?.terminate()
    for (const socket of this.incoming.clients) socket.terminate()
    this.incoming.close()
  }

  private heartbeat (isNear: boolean): Buffer {
    const { state } = this.options
    const message: HeartbeatMessage = {
      kind: 'heartbeat',
      isReady: state.isReady,
      at: state.records.at,
      spent: [...state.rate.spending()],
      ...isNear
        ? {
            loads: [...state.ownLoads()].map(([upstream, { inFlight, pendingTokens }]) => [upstream, inFlight, pendingTokens] as const),
            parts: [...state.takeParts()].map(([upstream, parts]) => [upstream, [...parts]] as const)
          }
        : {
            regionParts: state.takePartsAway(),
            forecasts: [...state.ownForecasts()].map(([service, { upstreams, waitMilliseconds, freeSlots }]) =>
              [service, upstreams, Math.round(waitMilliseconds), freeSlots] as const)
          }
    }
    return pack(message)
  }

  private linkTo (address: string): OutgoingLink {
    const held = this.outgoing.get(address)
    if (held !== undefined) return held
    const link: OutgoingLink = { address, socket: undefined, dialledAt: -Infinity, pingedAt: 0, answeredAt: 0, knownTold: 0 }
    this.outgoing.set(address, link)
    return link
  }

  private keepUp (link: OutgoingLink): void {
    const { state } = this.options
    const now = state.clock.monotonic()
    if (link.socket === undefined) {
      if (now - link.dialledAt >= linkRetryMilliseconds) this.dial(link)
      return
    }
    if (link.socket.readyState !== WebSocket.OPEN) return
    if (link.pingedAt > link.answeredAt && now - link.pingedAt > linkSilentMilliseconds) {
      state.log.warn('link-silent', { address: link.address })
      link.socket.terminate()
      return
    }
    if (link.pingedAt <= link.answeredAt) {
      link.pingedAt = now
      link.socket.ping()
    }
    const known = state.peers.known
    if (known.length !== link.knownTold) this.greet(link)
  }

  private dial (link: OutgoingLink): void {
    const { state } = this.options
    link.dialledAt = state.clock.monotonic()
    const socket = new WebSocket(`ws://${link.address}${linkPath}`, {
      perMessageDeflate: false, handshakeTimeout: peerConnectMilliseconds, maxPayload: maximumLinkMessageBytes
    })
    link.socket = socket
    socket.on('open', () => {
      link.pingedAt = link.answeredAt = state.clock.monotonic()
      state.log.info('link-up', { address: link.address })
      this.greet(link)
    })
    socket.on('pong', () => { link.answeredAt = state.clock.monotonic() })
    socket.on('message', (data) => this.receive(socket, data as Buffer, undefined))
    socket.on('error', (error) => state.log.warn('link-error', { address: link.address, detail: error.message }))
    socket.on('close', () => {
      if (link.socket !== socket) return
      link.socket = undefined
      state.log.warn('link-down', { address: link.address })
    })
  }

  private greet (link: OutgoingLink): void {
    const { state, self } = this.options
    const { known } = state.peers
    link.knownTold = known.length
    this.send(link, pack({ kind: 'hello', identity: self, known } satisfies LinkMessage))
  }

  private send (link: OutgoingLink, message: Buffer): void {
    if (link.socket?.readyState === WebSocket.OPEN) link.socket.send(message)
  }

  private accept (socket: WebSocket): void {
    let identity: PeerIdentity | undefined
    socket.on('message', (data) => { identity = this.receive(socket, data as Buffer, identity) })
    socket.on('error', (error) => this.options.state.log.warn('link-error', { vm: identity?.vm, detail: error.message }))
  }

  private receive (socket: WebSocket, data: Buffer, sender: PeerIdentity | undefined): PeerIdentity | undefined {
    let message: LinkMessage
    try {
      message = unpack(data) as LinkMessage
    } catch (error) {
      this.options.state.log.warn('link-message-unreadable', { vm: sender?.vm, detail: (error as Error).message })
      return sender
    }
    return this.take(socket, message, sender)
  }

  private take (socket: WebSocket, message: LinkMessage, sender: PeerIdentity | undefined): PeerIdentity | undefined {
    const { state } = this.options
    switch (message.kind) {
      case 'hello':
        if (sender === undefined) state.log.info('peer-heard', { vm: message.identity.vm, incarnation: message.identity.incarnation })
        state.peers.introduced(message.identity)
        message.known.forEach((peer) => state.peers.told(peer))
        return message.identity
      case 'heartbeat':
        if (sender !== undefined) this.takeHeartbeat(sender, message)
        return sender
      case 'leaving':
        if (sender !== undefined) {
          state.log.info('peer-left', { vm: sender.vm })
          state.peers.left(sender.linkAddress)
          state.forgetLoads(sender.vm)
        }
        return sender
      case 'suspicion.report':
        if (sender !== undefined) state.crashes.spread.receive(sender, message)
        return sender
      case 'records-request':
        socket.send(pack({
          kind: 'records', at: state.records.at, records: [...state.records.all].map(({ key, value, revision }) => [key, value, revision] as const)
        } satisfies LinkMessage))
        return sender
      case 'records':
        if (message.at > state.records.at) {
          state.records.adopt(message.records.map(([key, value, revision]) => ({ key, value, revision })), message.at)
          this.options.onRecords()
        }
        return sender
    }
  }

  private takeHeartbeat (sender: PeerIdentity, message: HeartbeatMessage): void {
    const { state } = this.options
    state.peers.heard(sender, message.isReady)
    state.rate.heard({ vm: sender.vm, incarnation: sender.incarnation, spent: new Map(message.spent) })
    if (message.loads !== undefined) {
      state.heardLoads(sender.vm, new Map(message.loads.map(([upstream, inFlight, pendingTokens]) => [upstream, { inFlight, pendingTokens }])))
    }
    for (const [upstream, parts] of message.parts ?? []) state.board.find(upstream)?.readParts(parts)
    if (message.forecasts !== undefined) {
      state.forecasts.heard(sender.region, new Map(message.forecasts.map(([service, upstreams, waitMilliseconds, freeSlots]) =>
        [service, { upstreams, waitMilliseconds, freeSlots }])))
    }
    if (message.regionParts !== undefined) state.forecasts.heardParts(sender.region, message.regionParts)
    this.askForRecords(sender, message.at)
  }

  /** Asks a VM that knows more, where this one can't read the records itself. */
  private askForRecords (sender: PeerIdentity, at: number): void {
    const { state, isSourceLost } = this.options
    const now = state.clock.monotonic()
    if (at <= state.records.at || !isSourceLost() || now - this.recordsAskedAt < recordRequestMilliseconds) return
    const link = this.outgoing.get(sender.linkAddress)
    if (link === undefined) return
    this.recordsAskedAt = now
    this.send(link, pack({ kind: 'records-request' } satisfies LinkMessage))
  }
}
