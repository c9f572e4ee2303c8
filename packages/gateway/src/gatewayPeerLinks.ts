/**
 * Links between the gateway processes of the VMs; cuminvaled has peer links of
 * its own in the daemon package. In a small region each VM dials all others and
 * sends them heartbeats. In a large one it dials the hubs of its failure domain,
 * which return digests. Speakers also send reports to the speakers of other
 * regions, and relay the reports that they receive.
 */

import { SuspensionDetector, hubsPerDomain, planLinks } from '@cuminvale/serving'
import { WebSocketServer } from 'ws'
import { DomainReports, packLoads, toLoads } from './domainReports.js'
import { EvidenceExchange } from './evidenceExchange.js'
import { FeederConfirmations } from './feederConfirmations.js'
import { Introductions } from './introductions.js'
import { PeerContact } from './peerContact.js'
import { LinkedPeers } from './linkedPeers.js'
import { OutgoingLink, linkPath } from './outgoingLink.js'
import { readFrame } from './linkFrames.js'
import { holdUnfinishedMessages, maximumMessageParts } from './linkHolding.js'
import { packMessage } from './linkMessages.js'
import { describeError } from './errors.js'
import { RecordFeed } from './recordFeed.js'
import { RecordRole } from './recordPoller.js'
import { RegionReports } from './regionReports.js'
import { linkRetryIntervalMilliseconds, maximumLinkMessageBytes, maximumRelayedReports, startingLinkRetryIntervalMilliseconds, selfReadingNeighbourCount, ticksBetweenHubHeartbeats, unusedLinkTimeoutMilliseconds } from './constants.js'
import type { TeamId } from '@cuminvale/common'
import type { LinkPlan, PeerIdentity, RecordChange } from '@cuminvale/serving'
import type { Server } from 'node:http'
import type { WebSocket } from 'ws'
import type { PlainLinkMessage } from './linkFrames.js'
import type { HeartbeatMessage, HelloMessage, RegionReport } from './linkMessages.js'
import type { GatewayState } from './gatewayState.js'
import type { OriginLinks } from './streamOriginExchange.js'

/** Ticks between two repeats of recent evidence of crashes. */
const ticksBetweenEvidenceRepeats = 5

/** Every fourth heartbeat reports the spending of all teams, the others only what has changed. A VM that starts counts a neighbour's spending from the first full report. */
const heartbeatsPerFullSpending = 4

/** Ticks between two plans of links while no link and no known VM changes. */
const ticksBetweenPlans = 5
/** Time after the start in which links are planned every tick, since most of them are being made. */
const frequentPlanningMilliseconds = 5_000

/** Silence after which a hub sends a VM no more digests on a connection. */
const memberSilentMilliseconds = 3_000

export interface GatewayPeerLinksOptions {
  readonly state: GatewayState
  readonly self: PeerIdentity
  readonly server: Server
  /** Whether this VM can't read the published records from their source. */
  readonly isSourceLost: () => boolean
  /** Called after records of another VM were adopted. */
  readonly onRecordsAdopted: () => void
  /** Called when this VM has been suspended. */
  readonly onSuspension: () => void
}

/** A connection that another VM dialled. */
interface AcceptedLink {
  readonly socket: WebSocket
  /** Undefined until the VM has introduced itself. */
  identity: PeerIdentity | undefined
  /** Monotonic time of the last heartbeat of a VM that reports to this VM as its hub. */
  reportedAt: number
  /** Peer table serial up to which VMs were named; undefined unless the VM asked for all known VMs. */
  sentSerial: number | undefined
}

/** Where a message came from, and how to answer. */
interface MessageOrigin {
  readonly sender: PeerIdentity | undefined
  /** Undefined for a message on a link that this VM dialled. */
  readonly accepted: AcceptedLink | undefined
  readonly send: (message: Buffer) => void
}

export class GatewayPeerLinks {
  readonly feed: RecordFeed
  readonly confirmations: FeederConfirmations
  private readonly linkedPeers: LinkedPeers
  private readonly linksByAddress = new Map<string, OutgoingLink>()
  private readonly acceptedLinks = new Set<AcceptedLink>()
  private readonly webSocketServer: WebSocketServer
  private readonly introductions: Introductions
  private readonly regionReports: RegionReports
  private readonly domainReports: DomainReports
  private readonly evidenceExchange: EvidenceExchange
  private readonly suspensionDetector: SuspensionDetector
  private readonly startedAt: number
  private plan: LinkPlan = { usesHubs: false, isHub: false, near: [], otherHubs: [], isSpeaker: false, far: [], seeds: [] }
  /** Whether a link was made or lost since the plan was made. */
  private isPlanOutdated = true
  private isHeartbeatDue = false
  private plannedSerial = 0
  private tickCount = 0
  private heartbeatCount = 0
  private lastSentSpending: ReadonlyMap<TeamId, number> = new Map()
  private seeds: readonly string[]
  private reportsToRelay: RegionReport[] = []
  /** Found anew after each tick, since it reads all links and known VMs. */
  private originLinks: OriginLinks | undefined

  constructor (private readonly options: GatewayPeerLinksOptions) {
    const { state, self, server, isSourceLost, onRecordsAdopted } = options
    const { clock, random, crashDetector } = state
    this.seeds = state.settings.seeds
    this.startedAt = clock.monotonic()
    this.introductions = new Introductions({ state, self })
    this.regionReports = new RegionReports({ state, self })
    this.domainReports = new DomainReports({ state, self })
    this.suspensionDetector = new SuspensionDetector(clock)
    this.feed = new RecordFeed({ clock, records: state.records, takesRecords: () => this.recordRole !== RecordRole.Reading || isSourceLost(), onRecordsAdopted })
    this.linkedPeers = new LinkedPeers({ state, self, dialled: this.linksByAddress, accepted: this.acceptedLinks, plan: () => this.plan })
    this.confirmations = new FeederConfirmations({
      records: state.records,
      feeders: () => this.linkedPeers.feeders,
      isReader: () => this.recordRole !== RecordRole.Fed,
      confirm: async () => await state.confirmRecords(clock.monotonic()),
      changesAfter: (position) => this.feed.answerRequest(position)
    })
    this.evidenceExchange = new EvidenceExchange({ clock, random, evidence: crashDetector.evidence, region: self.region, usesHubs: () => this.plan.usesHubs, peers: () => this.linkedPeers.all })
    crashDetector.onNews = () => this.evidenceExchange.sendNews()
    state.recordAgeMilliseconds = () => this.feed.ageMilliseconds
    state.contact = new PeerContact({ peers: state.peers, region: self.region, near: () => this.plan.near, far: () => this.plan.far, linkTo: (address) => this.linksByAddress.get(address) })
    state.originLinks = () => (this.originLinks ??= this.linkedPeers.findOriginLinks())
    state.limitExchange.sendToRegion = (message) => this.sendToRegion(message)
    state.starts.announceCold = (message) => this.sendToRegion(message)
    state.announceLeaving = ({ id, startedAt }) => this.sendToRegion(packMessage({ kind: 'upstream-leaving', upstream: id, startedAt }))
    this.webSocketServer = new WebSocketServer({ server, path: linkPath, perMessageDeflate: false, maxPayload: maximumLinkMessageBytes, maxFragments: maximumMessageParts })
    this.webSocketServer.on('connection', (link, request) => {
      holdUnfinishedMessages({ link, socket: request.socket, memory: state.callerMemory })
      this.accept(link)
    })
    this.webSocketServer.on('error', (error) => state.log.warn('link-server-error', { detail: error.message }))
  }

  /** Whether this VM reads the published records itself: a hub, or a speaker of a region without hubs. */
  get recordRole (): RecordRole {
    const { usesHubs, isHub, isSpeaker, near } = this.plan
    if (!usesHubs && near.length <= selfReadingNeighbourCount) return RecordRole.Reading
    return (usesHubs ? isHub : isSpeaker) ? RecordRole.Feeding : RecordRole.Fed
  }

  /** Links that this VM has dialled. */
  get linkCount (): number {
    return this.linksByAddress.size
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
    const { state } = this.options
    this.tickCount += 1
    this.originLinks = undefined
    const now = state.clock.monotonic()
    if (this.isPlanDue(now)) this.updatePlan(now)
    const { usesHubs, near, otherHubs, far, seeds } = this.plan
    state.usesHubs = usesHubs
    const seedAddresses = new Set(seeds)
    for (const seed of seeds) this.maintainLink(seed, now, true)
    // A hub is asked for the known VMs like a seed, since its digests name only those of this region.
    const nearLinks = near.map(({ linkAddress }) => this.maintainLink(linkAddress, now, usesHubs || seedAddresses.has(linkAddress)))
    if (isUrgent || this.isHeartbeatDue || this.tickCount % (usesHubs ? ticksBetweenHubHeartbeats : 1) === 0) this.sendHeartbeat(nearLinks)
    const hubLinks = otherHubs.map(({ linkAddress }) => this.maintainLink(linkAddress, now, seedAddresses.has(linkAddress)))
    this.sendDigest(hubLinks, now)
    const farLinks = far.map(({ linkAddress }) => this.maintainLink(linkAddress, now, seedAddresses.has(linkAddress)))
    const report = this.regionReports.tick(far, { isUrgent })
    if (report !== undefined) farLinks.forEach((link) => link.send(report))
    // Only speakers report these parts; the others discard them, so that the set stays small.
    if (!this.plan.isSpeaker) state.takePartsToReportToOtherRegions()
    this.closeUnusedLinks(now)
    this.updateSubscribers()
    if (this.tickCount % ticksBetweenEvidenceRepeats === 0) this.evidenceExchange.tick()
    state.removeUnheardLoads((domain) => this.domainReports.isFollowing(domain))
  }

  /** Planning reads all known VMs, so it waits for a change, or for a second in which VMs may have fallen silent. */
  private isPlanDue (now: number): boolean {
    const isStarting = now - this.startedAt < frequentPlanningMilliseconds
    return isStarting || this.isPlanOutdated || this.tickCount % ticksBetweenPlans === 0 || this.options.state.peers.serial !== this.plannedSerial
  }

  private updatePlan (now: number): void {
    const { state, self } = this.options
    state.peers.removeExpired()
    this.isPlanOutdated = false
    this.plannedSerial = state.peers.serial
    const plan = planLinks({
      self,
      known: state.peers.known,
      heard: state.peers.heardPeers({ readyOnly: false }),
      seeds: this.seeds.filter((seed) => seed !== self.linkAddress),
      uptimeMilliseconds: now - this.startedAt,
      isUnreachable: (address) => this.linksByAddress.get(address)?.isUnreachable === true
    })
    if (plan.isSpeaker !== this.plan.isSpeaker) state.log.info('speaking', { isSpeaker: plan.isSpeaker, near: plan.near.length, far: plan.far.length })
    if (plan.isHub !== this.plan.isHub) state.log.info('relaying', { isHub: plan.isHub, near: plan.near.length, hubs: plan.otherHubs.length })
    this.plan = plan
  }

  private maintainLink (address: string, now: number, isAsking: boolean): OutgoingLink {
    const link = this.findOrCreateLink(address)
    link.lastNeededAt = now
    link.isAsking = isAsking
    link.maintain(now - this.startedAt < frequentPlanningMilliseconds ? startingLinkRetryIntervalMilliseconds : linkRetryIntervalMilliseconds)
    // A VM that is asked names all VMs itself; the others are told of new ones.
    if (link.isOpen && !isAsking) {
      const { message, serial } = this.introductions.ofNewNeighbours(link.sentSerial)
      link.sentSerial = serial
      if (message !== undefined) link.send(message)
    }
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
    for (const link of this.acceptedLinks) {
      const introduction = link.sentSerial === undefined ? undefined : this.introductions.ofNewVms(link.sentSerial)
      if (introduction === undefined) continue
      link.sentSerial = introduction.serial
      link.socket.send(introduction.message)
    }
  }

  /** Announces on every link that this VM stops. */
  leave (): void {
    const message = packMessage({ kind: 'leaving', identity: this.options.self })
    for (const link of this.linksByAddress.values()) link.send(message)
    for (const { socket } of this.acceptedLinks) socket.send(message)
  }

  close (): void {
    for (const link of this.linksByAddress.values()) link.close()
    for (const socket of this.webSocketServer.clients) socket.terminate()
    this.webSocketServer.close()
  }

  /** Passes changes that this VM read from the source to the VMs that it feeds. */
  feedChanges (changes: readonly RecordChange[], after: number): void {
    if (this.recordRole !== RecordRole.Feeding) return
    this.sendToRegion(this.feed.packChanges(changes, after))
  }

  /** Sends a message to the VMs of the region that this VM links to, and to those that follow it as their hub. */
  private sendToRegion (message: Buffer): void {
    const { near, otherHubs } = this.plan
    for (const { linkAddress } of [...near, ...otherHubs]) this.linksByAddress.get(linkAddress)?.send(message)
    this.feedMembers(message)
  }

  /** Passes a message on to the VMs that follow this VM as their hub. */
  private feedMembers (message: Buffer): void {
    if (!this.domainReports.isFollowedHub) return
    for (const { socket } of this.membersAt(this.options.state.clock.monotonic())) socket.send(message)
  }

  private membersAt (now: number): readonly AcceptedLink[] {
    return [...this.acceptedLinks].filter(({ reportedAt }) => now - reportedAt <= memberSilentMilliseconds)
  }

  private sendHeartbeat (links: readonly OutgoingLink[]): void {
    this.isHeartbeatDue = false
    const message = this.heartbeat()
    if (this.plan.usesHubs) this.domainReports.recordOwn(message)
    const packed = packMessage(message)
    const receivers = this.plan.usesHubs ? links.filter(({ isOpen }) => isOpen).slice(0, hubsPerDomain) : links
    for (const link of receivers) link.send(packed)
  }

  /** The next heartbeat. It takes the prompt parts and relayed reports that are due, so they are sent only once. */
  private heartbeat (): HeartbeatMessage {
    const { state } = this.options
    this.heartbeatCount += 1
    const isComplete = this.heartbeatCount % heartbeatsPerFullSpending === 0
    const spending = [...state.rateLimiter.spending()]
    const spent = isComplete ? spending : spending.filter(([team, amount]) => this.lastSentSpending.get(team) !== amount)
    this.lastSentSpending = new Map(spending)
    const reports = this.reportsToRelay
    this.reportsToRelay = []
    const { unreached } = state.reach
    return {
      kind: 'heartbeat',
      sequence: this.heartbeatCount,
      steadyMilliseconds: state.clock.monotonic(),
      isReady: state.isReady,
      ...this.feed.knowledge,
      spent,
      isSpentFull: isComplete,
      ...unreached.length === 0 ? {} : { unreached },
      loads: packLoads(state.ownLoads()),
      parts: [...state.takePartsToReportInRegion()].map(([upstream, parts]) => [upstream, [...parts]] as const),
      reports
    }
  }

  private sendDigest (hubLinks: readonly OutgoingLink[], now: number): void {
    const digest = this.domainReports.tick(this.feed.knowledge)
    if (digest === undefined) return
    for (const { socket, identity } of this.membersAt(now)) {
      if (identity !== undefined) socket.send(digest.forMember(identity.vm))
    }
    for (const link of hubLinks) link.send(digest.forOtherHubs)
  }

  private findOrCreateLink (address: string): OutgoingLink {
    const existing = this.linksByAddress.get(address)
    if (existing !== undefined) return existing
    const { state } = this.options
    const { clock, log, peers } = state
    const link: OutgoingLink = new OutgoingLink({
      address,
      clock,
      log,
      onOpen: () => {
        this.isPlanOutdated = true
        // A hub that has just started learns of its VMs by their heartbeats.
        this.isHeartbeatDue = true
        const { message, serial } = this.introductions.forDialledLink({ isAsking: link.isAsking, isSpeaker: this.plan.isSpeaker })
        link.sentSerial = serial
        link.send(message)
        for (const source of [this.evidenceExchange, state.limitExchange, state.starts]) source.sendAll((known) => link.send(known))
      },
      onClosed: () => { this.isPlanOutdated = true },
      onMessage: (data) => this.receive(data, { sender: peers.find(address), accepted: undefined, send: (message) => link.send(message) })
    })
    this.linksByAddress.set(address, link)
    return link
  }

  private accept (socket: WebSocket): void {
    const link: AcceptedLink = { socket, identity: undefined, reportedAt: -Infinity, sentSerial: undefined }
    this.acceptedLinks.add(link)
    socket.on('message', (data) => this.receive(data as Buffer, { sender: link.identity, accepted: link, send: (message) => socket.send(message) }))
    socket.on('error', (error) => this.options.state.log.warn('link-error', { peer: link.identity?.vm, detail: error.message }))
    socket.on('close', () => this.acceptedLinks.delete(link))
  }

  private receive (frame: Buffer, origin: MessageOrigin): void {
    const { log } = this.options.state
    const messages = readFrame(frame, maximumLinkMessageBytes, (detail) => log.warn('link-message-unreadable', { peer: origin.sender?.vm, detail }))
    let acknowledgedSequence: number | undefined
    for (const message of messages) {
      try {
        if (message.kind === 'acknowledgement') acknowledgedSequence = message.sequence
        else this.handleMessage(message, origin, acknowledgedSequence)
      } catch (error) {
        // An exception would end the reading of the link, as its parser is called no more.
        log.error('link-message-error', { peer: origin.sender?.vm, kind: message.kind, detail: describeError(error) })
      }
    }
  }

  private handleMessage (message: PlainLinkMessage, origin: MessageOrigin, acknowledgedSequence: number | undefined): void {
    const { state } = this.options
    const { sender, send } = origin
    switch (message.kind) {
      case 'hello':
        return this.handleHello(message, origin)
      case 'heartbeat':
        if (sender !== undefined) this.handleHeartbeat(sender, message, origin)
        return
      case 'digest':
        if (sender?.incarnation === message.own.incarnation) state.peers.recordIntroduction(sender)
        this.recordSteadyClock(message.own, message)
        this.domainReports.receive(message, acknowledgedSequence)
        message.reports.forEach((report) => this.handleReport(report, { isFromSpeaker: false }))
        return this.feed.handleKnowledge(message, send)
      case 'region-report':
        this.handleReport(message, { isFromSpeaker: true })
        // The age of the knowledge is unknown, so this only shows that there is something newer.
        return this.feed.handleKnowledge({ at: message.at, recordAge: Infinity }, send)
      case 'leaving':
        if (!state.peers.isKnown(message.identity)) return
        state.log.info('peer-left', { peer: message.identity.vm })
        state.peers.left(message.identity)
        this.domainReports.remove(message.identity)
        state.neighbourLoads.remove(message.identity.vm)
        return
      case 'upstream-leaving': {
        const upstream = state.upstreams.find(message.upstream)
        if (upstream !== undefined && upstream.announced.startedAt === (message.startedAt ?? undefined)) state.saidToLeave(upstream, sender?.vm)
        return
      }
      case 'upstream-cold':
        return state.starts.receiveCold(message, { relays: this.plan.usesHubs })
      case 'upstream-limits':
        return state.limitExchange.receive(message)
      case 'suspicion.report':
        // Of a VM of an earlier version, whose digests don't tell paths apart.
        return
      case 'crash-evidence':
        if (sender !== undefined) this.evidenceExchange.receive(message, sender)
        return
      case 'stream-origins':
        return state.versions.origins.receiveOrigins(message, sender)
      case 'stream-question':
        return state.versions.origins.receiveQuestion(message, sender, send)
      case 'version-history-request':
        return state.versions.handOvers.answer(message, send)
      case 'version-history':
        return state.versions.handOvers.receive(message, sender)
      case 'records-request':
        return send(this.feed.answerRequest(message.after))
      case 'record-changes':
        if (this.feed.applyChanges(message)) this.feedMembers(packMessage(message))
        return
      case 'records':
        return this.feed.applySnapshot(message)
      case 'confirmation-request':
        this.confirmations.answer(message, send).catch((error: unknown) => state.log.error('link-message-error', { peer: sender?.vm, kind: message.kind, detail: describeError(error) }))
        return
      case 'confirmation':
        return this.confirmations.receive(message)
    }
  }

  private handleHello (message: HelloMessage, { accepted, send }: MessageOrigin): void {
    if (accepted !== undefined) {
      const isNew = accepted.identity === undefined
      if (isNew) this.introductions.recordNewPeer(message)
      if (isNew) this.evidenceExchange.sendAll(send)
      accepted.identity = message.identity
    }
    this.introductions.apply(message)
    if (message.isAsking && accepted !== undefined && accepted.sentSerial === undefined) {
      const answer = this.introductions.answer({ isHub: this.plan.isHub })
      accepted.sentSerial = answer.serial
      send(answer.message)
    }
    this.feed.handleKnowledge({ at: message.at, recordAge: Infinity }, send)
  }

  private handleHeartbeat (sender: PeerIdentity, message: HeartbeatMessage, { accepted, send }: MessageOrigin): void {
    const { state, self } = this.options
    state.peers.recordContact(sender, message.isReady)
    state.reach.recordNeighbour(sender.vm, message.unreached ?? [])
    this.recordSteadyClock(sender, message)
    if (this.plan.usesHubs && accepted !== undefined && sender.failureDomain === self.failureDomain) {
      accepted.reportedAt = state.clock.monotonic()
      this.domainReports.recordMember(sender, message)
    }
    // The sums of a followed hub include this VM's work already.
    const isCounted = !this.domainReports.isFollowing(sender.failureDomain)
    state.rateLimiter.recordReport({ vm: sender.vm, incarnation: sender.incarnation, spent: new Map(message.spent), isComplete: message.isSpentFull }, isCounted)
    if (isCounted) state.neighbourLoads.set(sender.vm, toLoads(message.loads))
    else state.neighbourLoads.remove(sender.vm)
    for (const [upstream, parts] of message.parts) state.recordNeighbourParts(upstream, parts)
    message.reports.forEach((report) => this.handleReport(report, { isFromSpeaker: false }))
    this.feed.handleKnowledge(message, send)
  }

  private recordSteadyClock ({ vm, incarnation }: Pick<PeerIdentity, 'vm' | 'incarnation'>, { steadyMilliseconds }: { readonly steadyMilliseconds: number }): void {
    if (this.suspensionDetector.record({ vm, incarnation, steadyMilliseconds })) this.options.onSuspension()
  }

  /** Applies a report of another region, and queues it for VMs that this VM relays to. */
  private handleReport (report: RegionReport, { isFromSpeaker }: { readonly isFromSpeaker: boolean }): void {
    if (!this.regionReports.receive(report)) return
    this.domainReports.relay(report, { isForOtherHubs: isFromSpeaker })
    if (isFromSpeaker && this.plan.isSpeaker && this.reportsToRelay.length < maximumRelayedReports) this.reportsToRelay.push(report)
  }
}
