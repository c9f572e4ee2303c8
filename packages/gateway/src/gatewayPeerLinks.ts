/**
 * Links between the gateway processes of the VMs; cuminvaled has peer links of
 * its own in the daemon package. Each VM dials all VMs of its region and sends
 * them heartbeats. Speakers also send reports to the speakers of other regions,
 * and relay in their heartbeats the reports that they receive. Messages on an
 * accepted connection are attributed to the VM that introduced itself on it. On
 * a dialled link, only messages that need no known sender are handled.
 */

import { pack, unpack } from 'msgpackr'
import { ReportUse, RegionReporters, planLinks } from '@cuminvale/serving'
import { WebSocketServer } from 'ws'
import { OutgoingLink, linkPath } from './outgoingLink.js'
import {
  unusedLinkTimeoutMilliseconds, linkPingIntervalMilliseconds, linkRetryIntervalMilliseconds, maximumLinkMessageBytes, maximumRelayedReports,
  ticksBetweenMemberLists, maximumTicksBetweenReports, neighboursPerHeartbeatTick, largeRegionPingIntervalMilliseconds, recordRequestIntervalMilliseconds, regionsPerReportTick
} from './constants.js'
import type { TeamId } from '@cuminvale/common'
import type { PeerIdentity, RegionMember } from '@cuminvale/serving'
import type { Server } from 'node:http'
import type { WebSocket } from 'ws'
import type { HeartbeatMessage, HelloMessage, LinkMessage, RegionMembers, RegionReport } from './linkMessages.js'
import type { GatewayState } from './gatewayState.js'

/** Ticks between two reports of requests that are suspected of crashing upstreams. */
const ticksBetweenSuspicionReports = 5

/** Every fourth heartbeat reports the spending of all teams, the others only what has changed. A VM that starts counts a neighbour's spending from the first full report. */
const heartbeatsPerFullSpending = 4

export interface GatewayPeerLinksOptions {
  readonly state: GatewayState
  readonly self: PeerIdentity
  readonly server: Server
  /** Whether this VM can't read the published records from their source. */
  readonly isSourceLost: () => boolean
  /** Called after records of another VM were adopted. */
  readonly onRecordsAdopted: () => void
}

export class GatewayPeerLinks {
  private readonly linksByAddress = new Map<string, OutgoingLink>()
  private readonly webSocketServer: WebSocketServer
  private readonly reporters: RegionReporters
  /** Sockets of VMs that asked for all known VMs; the value is the peer table's serial up to which VMs were sent. */
  private readonly subscribers = new Map<WebSocket, number>()
  private readonly startedAt: number
  private tickCount = 0
  private heartbeatCount = 0
  private lastSentSpending: ReadonlyMap<TeamId, number> = new Map()
  private seeds: readonly string[]
  private recordsRequestedAt = -Infinity
  private isSpeaker = false
  private sequence = 0
  private reportsToRelay: RegionReport[] = []
  /** Comparable text of the region's VMs at the last report, whether or not that report listed them. */
  private lastMemberSummary = ''
  private membersChangedAt = -Infinity

  constructor (private readonly options: GatewayPeerLinksOptions) {
    const { state, server } = options
    this.seeds = state.settings.seeds
    this.startedAt = state.clock.monotonic()
    this.reporters = new RegionReporters(state.clock)
    this.webSocketServer = new WebSocketServer({ server, path: linkPath, perMessageDeflate: false, maxPayload: maximumLinkMessageBytes })
    this.webSocketServer.on('connection', (socket) => this.accept(socket))
    this.webSocketServer.on('error', (error) => state.log.warn('link-server-error', { detail: error.message }))
  }

  setSeeds (seeds: readonly string[]): void {
    this.seeds = seeds
  }

  /**
   * Maintains the links and the peer table, and sends what is due. Called every
   * tickIntervalMilliseconds. An urgent tick comes in addition, and sends the
   * heartbeat and the report even if they are not due.
   */
  tick ({ isUrgent = false }: { readonly isUrgent?: boolean } = {}): void {
    const { state, self } = this.options
    this.tickCount += 1
    state.peers.removeExpired()
    const now = state.clock.monotonic()
    const known = state.peers.known
    const linkPlan = planLinks({
      self, known, heard: state.peers.heardPeers({ readyOnly: false }), seeds: this.seeds.filter((seed) => seed !== self.linkAddress), uptimeMilliseconds: now - this.startedAt
    })
    if (linkPlan.isSpeaker !== this.isSpeaker) state.log.info('speaking', { isSpeaker: linkPlan.isSpeaker, near: linkPlan.near.length, far: linkPlan.far.length })
    this.isSpeaker = linkPlan.isSpeaker
    const seeds = new Set(linkPlan.seeds)
    for (const seed of seeds) this.maintainLink(seed, now, true)
    const heartbeat = isUrgent || this.tickCount % state.ticksPerHeartbeat === 0 ? this.heartbeat() : undefined
    for (const { linkAddress } of linkPlan.near) {
      const link = this.maintainLink(linkAddress, now, seeds.has(linkAddress))
      if (heartbeat !== undefined) link.send(heartbeat)
    }
    const report = linkPlan.far.length > 0 && (isUrgent || this.tickCount % ticksBetweenReports(linkPlan.far) === 0) ? this.report(now) : undefined
    for (const { linkAddress } of linkPlan.far) {
      const link = this.maintainLink(linkAddress, now, seeds.has(linkAddress))
      if (report !== undefined) link.send(report)
    }
    // Only speakers report these parts; the others discard them, so that the set stays small.
    if (!this.isSpeaker) state.takePartsToReportToOtherRegions()
    this.closeUnusedLinks(now)
    this.updateSubscribers()
    if (this.tickCount % ticksBetweenSuspicionReports === 0) this.sendSuspicions()
    for (const { region, vm, linkAddress } of known) {
      if (region === self.region && state.peers.isSilent(linkAddress)) state.removeNeighbourLoads(vm)
    }
  }

  private maintainLink (address: string, now: number, isSeed: boolean): OutgoingLink {
    const link = this.findOrCreateLink(address)
    link.lastNeededAt = now
    link.isSeed = isSeed
    // Regions in which heartbeats are less frequent than ticks also ping less often.
    link.maintain(this.options.state.peers.neighbourCount > neighboursPerHeartbeatTick ? largeRegionPingIntervalMilliseconds : linkPingIntervalMilliseconds)
    if (link.isOpen && !isSeed) this.sendNewPeers(link)
    return link
  }

  private closeUnusedLinks (now: number): void {
    for (const [address, link] of this.linksByAddress) {
      if (now - link.lastNeededAt <= unusedLinkTimeoutMilliseconds) continue
      link.close()
      this.linksByAddress.delete(address)
    }
  }

  /** Sends newly known VMs to each VM that asked for them. */
  private updateSubscribers (): void {
    const { state, self } = this.options
    for (const [socket, sentSerial] of this.subscribers) {
      const { identities, serial } = state.peers.knownSince(sentSerial)
      if (identities.length === 0) continue
      this.subscribers.set(socket, serial)
      socket.send(pack({ kind: 'hello', identity: self, known: identities, isAsking: false } satisfies HelloMessage))
    }
  }

  private sendSuspicions (): void {
    const { state } = this.options
    for (const { to, message } of state.crashDetector.suspicionGossip.tick()) {
      const peer = state.peers.known.find(({ vm }) => vm === to)
      const link = peer === undefined ? undefined : this.linksByAddress.get(peer.linkAddress)
      if (link !== undefined) link.send(pack(message))
    }
  }

  /** Announces on every link that this VM stops. */
  leave (): void {
    const message = pack({ kind: 'leaving' } satisfies LinkMessage)
    for (const link of this.linksByAddress.values()) link.send(message)
  }

  close (): void {
    for (const link of this.linksByAddress.values()) link.close()
    for (const socket of this.webSocketServer.clients) socket.terminate()
    this.webSocketServer.close()
  }

  /** Packs the next heartbeat. It takes the prompt parts and relayed reports that are due, so they are sent only once. */
  private heartbeat (): Buffer {
    const { state } = this.options
    this.heartbeatCount += 1
    const isComplete = this.heartbeatCount % heartbeatsPerFullSpending === 0
    const spending = [...state.rateLimiter.spending()]
    const spent = isComplete ? spending : spending.filter(([team, amount]) => this.lastSentSpending.get(team) !== amount)
    this.lastSentSpending = new Map(spending)
    const message: HeartbeatMessage = {
      kind: 'heartbeat',
      isReady: state.isReady,
      at: state.records.at,
      spent,
      isSpentFull: isComplete,
      loads: [...state.ownLoads()].map(([upstream, { inFlight, pendingTokens }]) => [upstream, inFlight, pendingTokens] as const),
      parts: [...state.takePartsToReportInRegion()].map(([upstream, parts]) => [upstream, [...parts]] as const),
      reports: this.reportsToRelay
    }
    this.reportsToRelay = []
    return pack(message)
  }

  /** Packs the next report to other regions. It takes the prompt parts that are due, so they are sent only once. */
  private report (now: number): Buffer {
    const { state, self } = this.options
    const { vm, incarnation, region } = self
    this.sequence += 1
    const members = [{ identity: self, isReady: state.isReady }, ...state.peers.heardNeighbours]
    const summary = members.map(({ identity, isReady }) => `${identity.vm} ${identity.incarnation} ${isReady ? 1 : 0}`).sort().join()
    if (summary !== this.lastMemberSummary) this.membersChangedAt = now
    this.lastMemberSummary = summary
    // A changed list is sent with every report for a bounded time, later only from time to time.
    const includesMembers = now - this.membersChangedAt < linkRetryIntervalMilliseconds || this.tickCount % ticksBetweenMemberLists === 0
    const message: RegionReport = {
      kind: 'region-report',
      region,
      vm,
      incarnation,
      sequence: this.sequence,
      at: state.records.at,
      spent: [...state.rateLimiter.regionSpending()],
      forecasts: [...state.regionForecasts()].map(([service, { upstreams, waitMilliseconds, freeSlots }]) =>
        [service, upstreams, Math.round(waitMilliseconds), freeSlots] as const),
      parts: state.takePartsToReportToOtherRegions(),
      departed: state.peers.recentDepartures,
      ...includesMembers ? { members: members.map(packMember) } : {}
    }
    return pack(message)
  }

  private findOrCreateLink (address: string): OutgoingLink {
    const existing = this.linksByAddress.get(address)
    if (existing !== undefined) return existing
    const { clock, log } = this.options.state
    const link: OutgoingLink = new OutgoingLink({
      address,
      clock,
      log,
      onOpen: () => this.sendHello(link),
      onMessage: (socket, data) => this.receive(socket, data, undefined)
    })
    this.linksByAddress.set(address, link)
    return link
  }

  /** Sends the VMs of this region that have become known since the last call. Other regions learn of them from this region's speakers. */
  private sendNewPeers (link: OutgoingLink): void {
    const { state, self } = this.options
    const { identities, serial } = state.peers.knownSince(link.sentSerial)
    if (serial === link.sentSerial) return
    link.sentSerial = serial
    const known = identities.filter(({ region }) => region === self.region)
    if (known.length > 0) link.send(pack({ kind: 'hello', identity: self, known, isAsking: false } satisfies HelloMessage))
  }

  private sendHello (link: OutgoingLink): void {
    const { state, self } = this.options
    const { identities, serial } = state.peers.knownSince(0)
    link.sentSerial = serial
    const known = identities.filter(({ region }) => region === self.region)
    const regionsAndParts = this.isSpeaker ? { regions: this.packRegions(), parts: state.partsByUpstream, regionParts: state.forecasts.heldParts } : {}
    link.send(pack({ kind: 'hello', identity: self, known, isAsking: link.isSeed, ...regionsAndParts } satisfies HelloMessage))
  }

  /** Answers a VM that asked for the known VMs, and subscribes it to later ones. */
  private answerHello (socket: WebSocket): void {
    const { state, self } = this.options
    const { identities, serial } = state.peers.knownSince(0)
    this.subscribers.set(socket, serial)
    socket.send(pack({ kind: 'hello', identity: self, known: identities, isAsking: false, regions: this.packRegions() } satisfies HelloMessage))
  }

  private packRegions (): readonly RegionMembers[] {
    return this.options.state.peers.heardRegions.map(({ region, members }) => [region, members.map(packMember)] as const)
  }

  private accept (socket: WebSocket): void {
    let identity: PeerIdentity | undefined
    socket.on('message', (data) => { identity = this.receive(socket, data as Buffer, identity) })
    socket.on('error', (error) => this.options.state.log.warn('link-error', { vm: identity?.vm, detail: error.message }))
    socket.on('close', () => this.subscribers.delete(socket))
  }

  /** Returns the sender as known after the message, since a hello sets it. */
  private receive (socket: WebSocket, data: Buffer, sender: PeerIdentity | undefined): PeerIdentity | undefined {
    let message: LinkMessage
    try {
      message = unpack(data) as LinkMessage
    } catch (error) {
      this.options.state.log.warn('link-message-unreadable', { vm: sender?.vm, detail: (error as Error).message })
      return sender
    }
    return this.handleMessage(socket, message, sender)
  }

  private handleMessage (socket: WebSocket, message: LinkMessage, sender: PeerIdentity | undefined): PeerIdentity | undefined {
    const { state } = this.options
    switch (message.kind) {
      case 'hello':
        if (sender === undefined) state.log.info('peer-heard', { vm: message.identity.vm, incarnation: message.identity.incarnation })
        state.peers.recordIntroduction(message.identity)
        message.known.forEach((peer) => state.peers.addNamed(peer))
        for (const [region, members] of message.regions ?? []) state.peers.recordRegionReport(region, members.map(unpackMember))
        this.recordHelloParts(message)
        if (message.isAsking && !this.subscribers.has(socket)) this.answerHello(socket)
        return message.identity
      case 'heartbeat':
        if (sender !== undefined) this.handleHeartbeat(sender, message)
        return sender
      case 'region-report':
        if (this.handleReport(message) && this.isSpeaker && this.reportsToRelay.length < maximumRelayedReports) this.reportsToRelay.push(message)
        if (sender !== undefined) this.requestRecords(sender, message.at)
        return sender
      case 'leaving':
        if (sender !== undefined) {
          state.log.info('peer-left', { vm: sender.vm })
          state.peers.left(sender)
          state.removeNeighbourLoads(sender.vm)
        }
        return sender
      case 'suspicion.report':
        if (sender !== undefined) state.crashDetector.suspicionGossip.receive(sender, message)
        return sender
      case 'records-request':
        socket.send(pack({
          kind: 'records', at: state.records.at, records: [...state.records.all].map(({ key, value, revision }) => [key, value, revision] as const)
        } satisfies LinkMessage))
        return sender
      case 'records':
        if (message.at > state.records.at) {
          state.records.applySnapshot(message.records.map(([key, value, revision]) => ({ key, value, revision })), message.at)
          this.options.onRecordsAdopted()
        }
        return sender
    }
  }

  private recordHelloParts ({ identity, parts = [], regionParts = [] }: HelloMessage): void {
    const { state, self } = this.options
    if (identity.region !== self.region) return
    for (const [upstream, ids] of parts) state.recordPartsWithoutReport(upstream, ids)
    for (const [region, ids] of regionParts) state.forecasts.recordParts(region, ids)
  }

  private handleHeartbeat (sender: PeerIdentity, message: HeartbeatMessage): void {
    const { state } = this.options
    state.peers.recordContact(sender, message.isReady)
    state.rateLimiter.recordReport({ vm: sender.vm, incarnation: sender.incarnation, spent: new Map(message.spent), isComplete: message.isSpentFull })
    state.setNeighbourLoads(sender.vm, new Map(message.loads.map(([upstream, inFlight, pendingTokens]) => [upstream, { inFlight, pendingTokens }])))
    for (const [upstream, parts] of message.parts) state.recordNeighbourParts(upstream, parts)
    for (const report of message.reports) this.handleReport(report)
    this.requestRecords(sender, message.at)
  }

  /** Applies a report; true if it is new and comes from the followed speaker of its region. */
  private handleReport (report: RegionReport): boolean {
    const { state } = this.options
    const { region, vm, incarnation, spent, forecasts, parts, members, departed } = report
    const use = this.reporters.classify(report)
    if (use === ReportUse.Stale) return false
    for (const identity of departed) state.peers.left(identity)
    state.peers.recordRegionReport(region, members?.map(unpackMember))
    state.rateLimiter.recordRegionReport({ vm, incarnation, spent: new Map(spent), isComplete: true }, use === ReportUse.Followed)
    if (use === ReportUse.Spare) return false
    state.forecasts.recordReport(region, new Map(forecasts.map(([service, upstreams, waitMilliseconds, freeSlots]) => [service, { upstreams, waitMilliseconds, freeSlots }])))
    state.forecasts.recordParts(region, parts)
    return true
  }

  /** Requests the published records from a VM that knows them up to a newer revision, if this VM can't read them from their source. */
  private requestRecords (sender: PeerIdentity, revision: number): void {
    const { state, isSourceLost } = this.options
    const now = state.clock.monotonic()
    if (revision <= state.records.at || !isSourceLost() || now - this.recordsRequestedAt < recordRequestIntervalMilliseconds) return
    const link = this.linksByAddress.get(sender.linkAddress)
    if (link === undefined) return
    this.recordsRequestedAt = now
    link.send(pack({ kind: 'records-request' } satisfies LinkMessage))
  }
}

const packMember = ({ identity, isReady }: RegionMember): readonly [PeerIdentity, boolean] => [identity, isReady]

const unpackMember = ([identity, isReady]: readonly [PeerIdentity, boolean]): RegionMember => ({ identity, isReady })

const ticksBetweenReports = (far: readonly PeerIdentity[]): number => {
  const regions = new Set(far.map(({ region }) => region)).size
  return Math.min(maximumTicksBetweenReports, Math.max(1, Math.ceil(regions / regionsPerReportTick)))
}
