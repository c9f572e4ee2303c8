/**
 * WebSocket links between the daemons of a fleet. Of each pair of VMs, the one whose name sorts first dials.
 * A link on which neither messages nor heartbeats arrive within the timeout is closed and dialled again.
 * The gateway process of the users' platform has links of its own.
 */

import { WebSocket, WebSocketServer } from 'ws'
import { decodePeerMessage, encodePeerMessage } from '@cuminvale/messages'
import type { Server } from 'node:http'
import type { VmId } from '@cuminvale/common'
import type { PeerIdentity, PeerMessage } from '@cuminvale/messages'
import type { Member } from '@cuminvale/membership'
import {
  linkHandshakeTimeoutMilliseconds, linkHeartbeatIntervalMilliseconds, linkRetryIntervalMilliseconds, linkSilenceTimeoutMilliseconds
} from './constants.js'
import {
  HandshakeRole, createLinkSeals, helloSchema, newNonce, parseHandshakeFrame, proofSchema, proveHandshake, findProvingSecret, welcomeSchema
} from './peerHandshake.js'
import type { LinkSeals, HandshakeTranscript } from './peerHandshake.js'
import type { SecretFile } from './secretFile.js'

export interface DaemonPeerLinksOptions {
  readonly self: PeerIdentity
  readonly secret: SecretFile
  readonly onMessage: (from: PeerIdentity, message: PeerMessage) => void
  readonly onUp: (peer: PeerIdentity) => void
  readonly onDown: (peer: PeerIdentity) => void
}

interface Link {
  readonly peer: PeerIdentity
  readonly socket: WebSocket
  readonly seals: LinkSeals
  /** Secret that the session key was derived from; the link is closed once it is no longer accepted. */
  readonly secret: Uint8Array
  /** Time of the last valid frame, by `performance.now()`. */
  lastFrameAt: number
}

const linkPath = '/link'
const maximumMessageBytes = 8 * 1024 * 1024
const heartbeatPayload = Buffer.alloc(0)

const sendSealed = ({ socket, seals }: Link, payload: Uint8Array): void => {
  if (socket.readyState === WebSocket.OPEN) socket.send(seals.sealer.seal(payload))
}

export class DaemonPeerLinks {
  private readonly links = new Map<VmId, Link>()
  private readonly dialing = new Set<VmId>()
  private members: readonly Member[] = []
  private readonly timers: NodeJS.Timeout[] = []

  constructor (private readonly options: DaemonPeerLinksOptions) {}

  start (server: Server): void {
    const sockets = new WebSocketServer({ noServer: true, maxPayload: maximumMessageBytes })
    server.on('upgrade', (request, socket, head) => {
      if (request.url !== linkPath) return socket.destroy()
      sockets.handleUpgrade(request, socket, head, (webSocket) => this.listen(webSocket))
    })
    this.timers.push(setInterval(() => this.maintainLinks(), linkHeartbeatIntervalMilliseconds))
    this.timers.push(setInterval(() => this.dialMissingLinks(), linkRetryIntervalMilliseconds))
  }

  stop (): void {
    for (const timer of this.timers) clearInterval(timer)
    for (const link of this.links.values()) link.socket.terminate()
    this.links.clear()
  }

  /** Closes links to VMs that are not in `members`, and dials those without a link. */
  setMembers (members: readonly Member[]): void {
    this.members = members
    const listed = new Set(members.map(({ vm }) => vm.name))
    for (const [vm, link] of this.links) {
      if (!listed.has(vm)) link.socket.terminate()
    }
    this.dialMissingLinks()
  }

  /** Drops the message if there is no link to the VM. */
  send (to: VmId, message: PeerMessage): void {
    const link = this.links.get(to)
    if (link !== undefined) sendSealed(link, encodePeerMessage(message))
  }

  /** Sends a heartbeat on each link, and closes those that are silent or whose secret is no longer accepted. */
  private maintainLinks (): void {
    const now = performance.now()
    for (const link of this.links.values()) {
      const isSilent = now - link.lastFrameAt > linkSilenceTimeoutMilliseconds
      if (isSilent || !this.options.secret.isAccepted(link.secret)) link.socket.terminate()
      else sendSealed(link, heartbeatPayload)
    }
  }

  private dialMissingLinks (): void {
    for (const { vm } of this.members) {
      const isDialer = this.options.self.vm < vm.name
      if (isDialer && !this.links.has(vm.name) && !this.dialing.has(vm.name)) this.dial(vm.name, vm.host, vm.peerPort)
    }
  }

  private dial (name: VmId, host: string, port: number): void {
    this.dialing.add(name)
    const socket = new WebSocket(`ws://${host}:${port}${linkPath}`, {
      handshakeTimeout: linkHandshakeTimeoutMilliseconds, perMessageDeflate: false, maxPayload: maximumMessageBytes
    })
    const { self } = this.options
    const nonce = newNonce()
    const timer = setTimeout(() => socket.terminate(), linkHandshakeTimeoutMilliseconds)
    socket.on('error', () => socket.terminate())
    socket.on('open', () => socket.send(JSON.stringify({ identity: self, nonce })))
    socket.on('close', () => {
      clearTimeout(timer)
      this.dialing.delete(name)
    })
    socket.once('message', (data) => {
      const welcome = parseHandshakeFrame(data.toString(), welcomeSchema)
      if (welcome === undefined || welcome.identity.vm !== name) return socket.terminate()
      const transcript = { dialer: self, dialerNonce: nonce, listener: welcome.identity, listenerNonce: welcome.nonce }
      const secret = this.findProvingSecret(HandshakeRole.Listener, transcript, welcome.proof)
      if (secret === undefined) return socket.terminate()
      socket.send(JSON.stringify({ proof: proveHandshake(HandshakeRole.Dialer, transcript, this.options.secret.signing) }))
      clearTimeout(timer)
      this.registerLink({ peer: welcome.identity, socket, secret, seals: createLinkSeals(HandshakeRole.Dialer, transcript, secret) })
    })
  }

  private listen (socket: WebSocket): void {
    const { self } = this.options
    const timer = setTimeout(() => socket.terminate(), linkHandshakeTimeoutMilliseconds)
    socket.on('error', () => socket.terminate())
    socket.on('close', () => clearTimeout(timer))
    socket.once('message', (first) => {
      const hello = parseHandshakeFrame(first.toString(), helloSchema)
      if (hello === undefined) return socket.terminate()
      const transcript = { dialer: hello.identity, dialerNonce: hello.nonce, listener: self, listenerNonce: newNonce() }
      const secret = this.options.secret.signing
      socket.send(JSON.stringify({
        identity: self, nonce: transcript.listenerNonce, proof: proveHandshake(HandshakeRole.Listener, transcript, secret)
      }))
      socket.once('message', (second) => {
        const proof = parseHandshakeFrame(second.toString(), proofSchema)?.proof ?? ''
        if (this.findProvingSecret(HandshakeRole.Dialer, transcript, proof) === undefined) return socket.terminate()
        clearTimeout(timer)
        this.registerLink({ peer: hello.identity, socket, secret, seals: createLinkSeals(HandshakeRole.Listener, transcript, secret) })
      })
    })
  }

  /** Makes an authenticated connection the link to its peer, in place of an earlier one. */
  private registerLink (authenticated: Omit<Link, 'lastFrameAt'>): void {
    const { peer, socket } = authenticated
    this.links.get(peer.vm)?.socket.terminate()
    const link: Link = { ...authenticated, lastFrameAt: performance.now() }
    this.links.set(peer.vm, link)
    socket.on('message', (data: Buffer) => this.handleFrame(link, data))
    socket.on('close', () => this.removeLink(link))
    this.options.onUp(peer)
  }

  private handleFrame (link: Link, data: Buffer): void {
    const payload = link.seals.opener.open(data)
    if (payload === undefined) return link.socket.terminate()
    link.lastFrameAt = performance.now()
    if (payload.length === 0) return
    const decoded = decodePeerMessage(payload)
    if (decoded.isErr) return link.socket.terminate()
    this.options.onMessage(link.peer, decoded.value)
  }

  private removeLink (link: Link): void {
    if (this.links.get(link.peer.vm) !== link) return
    this.links.delete(link.peer.vm)
    this.options.onDown(link.peer)
  }

  private findProvingSecret (role: HandshakeRole, transcript: HandshakeTranscript, proof: string): Uint8Array | undefined {
    return findProvingSecret({ role, transcript, proof, secrets: this.options.secret.accepted })
  }
}
