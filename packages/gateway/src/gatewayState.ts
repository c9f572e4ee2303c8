/**
 * State of one gateway process: the objects that admission, placement and
 * retries decide with, kept in step with the published records and with the
 * reports of other VMs.
 */

import { RefusalReason, rendezvousScore } from '@cuminvale/common'
import { AnswerDurations, AttemptAges, ForwardResult, PeerTable, PlacementChooser, PredictionErrors, PublishedRecords, RegionForecasts, RegionUsage, RetryBudget, RoomAllocator, ServingConfiguration, StartSign, TeamRateLimiter, UpstreamTable, UpstreamParts, brittleShare, describePosition, eraOf, predictWait, sendShare } from '@cuminvale/serving'
import { removeForwardedWork } from './attempts.js'
import { CrashDetector } from './crashDetector.js'
import { Executions } from './executions.js'
import { CallerMemory } from './callerMemory.js'
import { memoryLimitsOf } from './memoryLimits.js'
import { HeldBytes } from './heldBytes.js'
import { compareFormat } from './messageFormat.js'
import { ForwardPools } from './forwardPools.js'
import { LimitExchange } from './limitExchange.js'
import { NeighbourLoads } from './neighbourLoads.js'
import { VersionTracking } from './versionTracking.js'
import { inspectUpstream } from './upstreamInspection.js'
import { UpstreamConnections } from './upstreamConnections.js'
import { UpstreamSigns } from './upstreamSigns.js'
import { UpstreamStarts } from './upstreamStarts.js'
import { UpstreamReach, acceptsConnections } from './upstreamReach.js'
import { isolatedRecordMilliseconds, outOfTouchRecordMilliseconds, interRegionRoundTripMilliseconds, regionRoundTripMilliseconds, hubReportIntervalMilliseconds, tickIntervalMilliseconds, peerDiscoveryMilliseconds, reportingMilliseconds } from './constants.js'
import type { Clock, FailureDomainId, Random, Refusal, RegionId, UpstreamId, VmId } from '@cuminvale/common'
import type { Log } from '@cuminvale/logs'
import type { AnnouncedUpstream, InFlightLoad, PeerIdentity, PromptPart, PromptPartId, NeighbourReports, Quarantine, ServiceForecast, ServiceName, Service, SoftwareVersion, StopPlan, UpstreamState } from '@cuminvale/serving'
import type { Attempt, ForwardAttempt, LocalAttempt } from './attempts.js'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { PeerContact } from './peerContact.js'
import type { OriginLinks } from './streamOriginExchange.js'
import type { AnswerHead, GatewaySettings, RecordDecoder, RequestCodec } from './types.js'

export interface GatewayStateOptions {
  readonly settings: GatewaySettings
  readonly self: PeerIdentity
  readonly clock: Clock
  readonly random: Random
  readonly codec: RequestCodec
  readonly decoder: RecordDecoder
  readonly log: Log
  readonly metrics: GatewayMetrics
}

/** Prompt parts shorter than this are not worth the traffic of a report to other VMs. */
const minimumReportedPartTokens = 500
/** VMs that may be running without being known yet. */
const spareVmCount = 1

const noLinks: OriginLinks = { usesHubs: false, isSpeaker: false, speakers: new Set(), near: [], far: [] }

const longPartIds = (parts: readonly PromptPart[]): readonly PromptPartId[] =>
  parts.filter(({ tokens }) => tokens >= minimumReportedPartTokens).map(({ id }) => id)

export class GatewayState {
  readonly settings: GatewaySettings
  readonly clock: Clock
  readonly random: Random
  readonly codec: RequestCodec
  readonly log: Log
  readonly records: PublishedRecords
  readonly upstreams: UpstreamTable
  readonly neighbourLoads: NeighbourLoads
  readonly forecasts: RegionForecasts
  readonly admission: RoomAllocator
  readonly placement: PlacementChooser
  readonly retries: RetryBudget
  readonly rateLimiter: TeamRateLimiter
  readonly peers: PeerTable
  readonly connections: UpstreamConnections
  readonly crashDetector: CrashDetector
  readonly limitExchange: LimitExchange
  readonly reach: UpstreamReach
  readonly signs: UpstreamSigns
  readonly starts: UpstreamStarts
  readonly versions: VersionTracking
  readonly attemptAges = new AttemptAges()
  readonly answerDurations = new AnswerDurations()
  readonly predictionErrors = new PredictionErrors()
  readonly forwardPools = new ForwardPools()
  readonly executions: Executions
  readonly heldBytes: HeldBytes
  readonly callerMemory: CallerMemory
  configuration: ServingConfiguration | undefined
  isLeaving = false
  /** Undefined before the stop signal. */
  stopPlan: StopPlan | undefined
  /** Whether the VMs of the region report to hubs instead of to each other. */
  usesHubs = false
  /** Milliseconds since the published records were last known to be complete. */
  recordAgeMilliseconds: () => number = () => Infinity
  /** Whether the records are known to be complete up to a monotonic time; reads them if need be. */
  confirmRecords: (since: number) => Promise<boolean> = async () => await Promise.resolve(false)
  /** The links on which origins of streams are told and asked for. */
  originLinks: () => OriginLinks = () => noLinks
  /** Proves that this VM hears the others now; undefined while it has no links. */
  contact: PeerContact | undefined
  /** Tells the other VMs of the region that an upstream leaves. */
  announceLeaving: (upstream: AnnouncedUpstream) => void = () => { /* no links yet */ }
  private readonly startedAt: number
  private era = 0
  private readonly longParts: UpstreamParts
  /** Long prompt parts to name in the next heartbeat, by upstream. */
  private partsToReportInRegion = new Map<UpstreamId, Set<PromptPartId>>()
  /** Long prompt parts of this region to name in the next report to other regions. */
  private readonly partsToReportToOtherRegions = new Set<PromptPartId>()

  constructor (private readonly options: GatewayStateOptions) {
    const { settings, self, clock, random, decoder } = options
    this.settings = settings
    this.startedAt = clock.monotonic()
    this.clock = clock
    this.random = random
    this.heldBytes = new HeldBytes(memoryLimitsOf(settings).answerPartBytes)
    this.callerMemory = new CallerMemory({ clock, maximumBytes: memoryLimitsOf(settings).callerBytes, onGivenWay: () => options.metrics.givenWay.inc() })
    this.executions = new Executions(clock, options.log, this.heldBytes)
    this.codec = options.codec
    this.log = options.log
    this.records = new PublishedRecords({ clock, mayLapse: (key) => decoder.mayLapse(key), isOlder: (key, value, known) => decoder.isOlder(key, value, known) })
    const findService = (service: ServiceName): Service | undefined => this.configuration?.service(service)
    const regionOf = (domain: FailureDomainId): RegionId | undefined => settings.domainRegions.get(domain)
    this.upstreams = new UpstreamTable({
      clock,
      regionOf,
      findService,
      neighbourReports: this.neighbourReports(),
      sendSharing: {
        share: (upstream, perSecond) => this.sendShare(upstream, perSecond),
        onSent: (upstream) => this.limitExchange.recordSend(upstream)
      },
      onCold: (upstream) => this.starts.recordCold(upstream)
    })
    const isHere = ({ failureDomain }: AnnouncedUpstream): boolean => regionOf(failureDomain) === settings.region
    this.starts = new UpstreamStarts({
      log: options.log,
      metrics: options.metrics,
      upstreams: this.upstreams,
      findService,
      clock,
      vm: settings.vm,
      bounds: settings.bounds,
      neighbours: () => this.neighbourNames,
      vmCount: () => this.maximumRegionVmCount,
      isSettled: () => this.peers.isSettled,
      isHere,
      isOutOfTouch: () => this.isOutOfTouch,
      inspect: async (upstream, healthPath) => await inspectUpstream({ connections: this.connections, codec: this.codec, upstream, healthPath }),
      onUnreachable: (upstream) => this.signs.unreachable(upstream)
    })
    this.neighbourLoads = new NeighbourLoads(this.upstreams)
    this.limitExchange = new LimitExchange({
      clock,
      log: options.log,
      vm: settings.vm,
      incarnation: self.incarnation,
      findUpstream: (id) => this.upstreams.find(id),
      upstreams: () => this.upstreams.all,
      usesHubs: () => this.usesHubs
    })
    this.peers = new PeerTable(clock, self)
    this.versions = new VersionTracking({
      ...options, peers: this.peers, records: this.records, recordAgeMilliseconds: () => this.recordAgeMilliseconds(), regionOf, configuration: () => this.configuration, links: () => this.originLinks()
    })
    this.forecasts = new RegionForecasts(clock, () => this.peers.neighbourCount, () => this.peers.isSettled ? this.peers.neighbourCount + 1 : this.peers.countIn(settings.region))
    this.longParts = new UpstreamParts(clock)
    this.reach = new UpstreamReach({
      clock,
      region: settings.region,
      upstreams: this.upstreams,
      isHere,
      neighbours: () => this.peers.heardPeers({ readyOnly: true }).filter(({ region }) => region === settings.region).map(({ vm }) => vm),
      accepts: acceptsConnections,
      onReached: (upstream) => this.signs.regained(upstream)
    })
    this.signs = new UpstreamSigns({ clock, log: options.log, upstreams: this.upstreams, reach: this.reach, starts: this.starts, isHere })
    this.rateLimiter = new TeamRateLimiter({ clock, heardShare: () => this.peers.heardShare() })
    this.retries = new RetryBudget({ clock, draw: rendezvousScore('retry-margin', settings.vm), ratio: settings.bounds.retryRatio, margin: settings.bounds.retryMargin, windowSeconds: settings.bounds.retryWindowSeconds, vmCount: () => this.peers.count + spareVmCount })
    this.connections = new UpstreamConnections({
      clock,
      memory: this.callerMemory,
      onOpened: () => options.metrics.connections.inc(),
      onLost: (upstream) => this.signs.connectionEnded(upstream, StartSign.Lost),
      onUnwatched: (upstream) => this.signs.connectionEnded(upstream, StartSign.Unwatched)
    })
    this.crashDetector = new CrashDetector({
      clock,
      source: self.incarnation,
      isRefusing: async (upstream) => await this.signs.hasEnded(upstream),
      onCrash: (upstream, requests) => this.signs.died(upstream, requests),
      onQuarantined: (quarantine) => this.logQuarantine('suspect-quarantined', quarantine),
      onReleased: (quarantine) => this.logQuarantine('suspect-released', quarantine),
      onRefusal: (kind) => options.metrics.crashSuspectRefusals.inc({ kind })
    })
    const usage = new RegionUsage({ clock, ownSpending: () => this.rateLimiter.spending(), regionSpending: () => this.rateLimiter.regionSpending() })
    this.admission = new RoomAllocator({ clock, random, regionMultiple: (team, charge) => usage.multiple(team, charge) })
    this.placement = new PlacementChooser({
      clock,
      random,
      region: settings.region,
      upstreams: this.upstreams,
      forecasts: this.forecasts,
      findService,
      softwareVersionOf: (upstream) => this.softwareVersionOf(upstream),
      isHeldDown: ({ announced: { service, softwareVersion } }) => this.versions.history.holdDown.isHeld(service, settings.region, softwareVersion),
      isReachedByNeighbours: (upstream) => this.reach.isReachedByNeighbours(upstream),
      reachableRegions: () => this.peers.readyRegions,
      allowsStart: (service, upstream) => this.starts.allows(service, upstream),
      brittleSharing: (upstream) => {
        const count = this.maximumRegionVmCount
        return { count, draw: rendezvousScore(upstream, settings.vm), partOf: (total) => brittleShare({ upstream, self: settings.vm, neighbours: this.neighbourNames, count, total }) }
      },
      connectionLimit: (service) => Math.max(1, Math.floor(service.connectionsPerUpstream / this.maximumRegionVmCount)),
      roundTripMilliseconds: (region) => this.roundTripMillisecondsTo(region),
      admission: settings.hasAdmissionControl === false ? undefined : this.admission
    })
  }

  /** Whether records may have changed without this VM: they are old, or it has lost contact with most others and hasn't read them since. */
  private get isOutOfTouch (): boolean {
    const age = this.recordAgeMilliseconds()
    return age > outOfTouchRecordMilliseconds || (age > isolatedRecordMilliseconds && this.peers.hasLostMost)
  }

  /** Whether this VM takes new requests: it knows a configuration and is not shutting down. */
  get isReady (): boolean {
    return this.configuration !== undefined && !this.isLeaving
  }

  /**
   * Whether this VM started so recently that requests may wait for it to hear of
   * the others. Shorter than the time until the peer table is settled, up to
   * which it assumes a minimum size of the region.
   */
  get isDiscoveringPeers (): boolean {
    return this.clock.monotonic() - this.startedAt < peerDiscoveryMilliseconds
  }

  /** Applies the published records to the configuration and to the upstreams. */
  adoptRecords (): void {
    const { decoder, log, metrics } = this.options
    const at = describePosition(this.records.at)
    this.recordEra(eraOf(this.records.at))
    const view = decoder.decode(this.records.all)
    metrics.unreadableRecords.inc(view.faults.length)
    for (const { key, detail } of view.faults) log.warn('record-unreadable', { key, detail, at })
    const document = view.configuration
    if (document !== undefined && document.version > (this.configuration?.version ?? -Infinity)) {
      this.configuration = new ServingConfiguration(document)
      metrics.version.set(document.version)
      log.info('configuration-adopted', { version: document.version, routes: document.routes.length, teams: document.teams.length, at })
    }
    this.versions.sync(view.upstreams, view.evacuated)
    const { added, removed, leaving } = this.upstreams.sync(view.upstreams, view.evacuated)
    this.starts.adopt()
    if (added.length + removed.length + leaving.length === 0) return
    for (const id of removed) this.longParts.forget(id)
    for (const id of added) this.upstreams.find(id)?.recordParts(this.longParts.of(id))
    log.info('upstreams-changed', { at, added: added.join(), removed: removed.join(), leaving: leaving.join() })
  }

  private recordEra (era: number): void {
    if (era === this.era) return
    this.era = era
    this.options.metrics.storeEra.set(era)
    this.log.warn('store-era', { era, at: describePosition(this.records.at) })
  }

  private logQuarantine (event: string, { kind, id, crashes, ageMilliseconds }: Quarantine): void {
    this.log.warn(event, { suspect: kind, id, crashes, age: Math.round(ageMilliseconds) })
    this.options.metrics.quarantined.set(this.crashDetector.evidence.quarantinedCount)
  }

  /** Records the prompt parts of a request that is sent to an upstream. */
  recordSentParts (upstream: UpstreamState, parts: readonly PromptPart[]): void {
    if (parts.length === 0) return
    this.options.metrics.rereadTokens.inc(this.upstreams.tokensHeldElsewhere(upstream, parts.slice(0, -1)))
    upstream.recordParts(parts.map(({ id }) => id))
    const longIds = longPartIds(parts)
    if (longIds.length === 0) return
    this.longParts.add(upstream.announced.id, longIds)
    const unreported = this.partsToReportInRegion.get(upstream.announced.id) ?? new Set<PromptPartId>()
    for (const id of longIds) {
      unreported.add(id)
      this.partsToReportToOtherRegions.add(id)
    }
    this.partsToReportInRegion.set(upstream.announced.id, unreported)
  }

  /** Records the prompt parts that another VM of the region sent to an upstream, and reports them to other regions. */
  recordNeighbourParts (upstream: UpstreamId, parts: readonly PromptPartId[]): void {
    this.recordPartsWithoutReport(upstream, parts)
    for (const id of parts) this.partsToReportToOtherRegions.add(id)
  }

  /** Records prompt parts that an upstream was sent, possibly before this VM knew the upstream. Does not report them to other regions. */
  recordPartsWithoutReport (upstream: UpstreamId, parts: readonly PromptPartId[]): void {
    this.longParts.add(upstream, parts)
    this.upstreams.find(upstream)?.recordParts(parts)
  }

  /** The long prompt parts that upstreams of this region were sent recently, for a VM that has just started. */
  get partsByUpstream (): ReadonlyArray<readonly [UpstreamId, readonly PromptPartId[]]> {
    return this.longParts.all
  }

  /** The long prompt parts that this VM sent since the last call, by upstream. */
  takePartsToReportInRegion (): ReadonlyMap<UpstreamId, ReadonlySet<PromptPartId>> {
    const parts = this.partsToReportInRegion
    this.partsToReportInRegion = new Map()
    return parts
  }

  /** The long prompt parts that upstreams of this region were sent since the last call, for other regions. */
  takePartsToReportToOtherRegions (): readonly PromptPartId[] {
    const parts = [...this.partsToReportToOtherRegions]
    this.partsToReportToOtherRegions.clear()
    return parts
  }

  /** Records that a region is about to read the long prompt parts of a forwarded request. */
  recordForwardedParts (region: RegionId, parts: readonly PromptPart[]): void {
    this.forecasts.recordParts(region, longPartIds(parts))
  }

  /** Software version that an upstream runs now; undefined if it may have started anew since its announcement. */
  softwareVersionOf (upstream: UpstreamState): SoftwareVersion | undefined {
    const isCurrent = this.upstreams.find(upstream.announced.id) === upstream
    return isCurrent && this.versions.history.isCurrent && upstream.startDoubt.isExcluded(this.recordAgeMilliseconds()) ? upstream.announced.softwareVersion : undefined
  }

  /** Observes what is known of software versions. Called every tick. */
  observeVersions (): void {
    if (!this.versions.observe()) this.recordStandstill()
  }

  /** Records that this VM stood still: upstreams may have started anew meanwhile, and messages from before may arrive now. */
  recordStandstill (): void {
    this.versions.interrupt()
    this.signs.standstill()
  }

  /** Records the first answer to a forward. */
  recordForwardAnswer (attempt: ForwardAttempt, service: ServiceName): void {
    this.recordForwardResult(attempt, service, this.clock.monotonic() > attempt.dueAt ? ForwardResult.Late : ForwardResult.Answered)
    removeForwardedWork(attempt, this.forecasts, service)
  }

  /** Records an attempt that broke, fell silent or reached no VM of its region, if it was a forward. */
  recordFailedForward (attempt: Attempt, service: ServiceName): void {
    if (attempt.kind === 'forward') this.recordForwardResult(attempt, service, ForwardResult.Failed)
  }

  /** Records how a forward ended, for the share of its region. */
  private recordForwardResult ({ region }: ForwardAttempt, service: ServiceName, result: ForwardResult): void {
    this.forecasts.shares.recordResult(region, service, result)
    this.options.metrics.forwards.inc({ region, result })
  }

  /** Counts a link or a forward that another VM has begun. */
  recordPeerFormat (source: 'link' | 'forward', format: number): void {
    this.options.metrics.peerFormats.inc({ source, format: compareFormat(format) })
  }

  /** Records that a VM refused a forward. Only refusals for lack of capacity say something of its region. */
  recordForwardRefusal (attempt: ForwardAttempt, service: ServiceName, { reason }: Refusal): void {
    if (reason === RefusalReason.UpstreamsUnreached) this.reach.recordRefusal(attempt.vm)
    if (reason === RefusalReason.Draining) this.peers.recordStopping(attempt.vm)
    if (reason === RefusalReason.NoUpstream) this.recordForwardResult(attempt, service, ForwardResult.Refused)
  }

  /** Why a request without a target is refused. */
  refusalReason (service: ServiceName, { isForwarded }: { readonly isForwarded: boolean }): RefusalReason {
    return isForwarded && this.reach.isCutFrom(service) ? RefusalReason.UpstreamsUnreached : RefusalReason.NoUpstream
  }

  /** Records that an upstream said in an answer, to this VM or another, that it leaves. */
  saidToLeave (upstream: UpstreamState, heardFrom?: VmId): void {
    if (upstream.hasSaidToLeave) return
    upstream.saidToLeave()
    this.log.info('upstream-leaving', { upstream: upstream.announced.id, service: upstream.announced.service, peer: heardFrom })
    // Without hubs, the VM that was told has told all others.
    if (heardFrom === undefined || this.usesHubs) this.announceLeaving(upstream.announced)
  }

  /** Learns from the first answer of a request that the upstream has run. */
  recordFirstAnswer ({ upstream, prediction, sentAt, answeredAt }: LocalAttempt, pace: number | undefined): void {
    if (answeredAt === undefined) return
    const observedMilliseconds = answeredAt - sentAt
    upstream.performance.record({ prediction, observedMilliseconds, pace })
    this.predictionErrors.record(observedMilliseconds, prediction.milliseconds)
    const isEngine = this.configuration?.service(upstream.announced.service)?.isEngine === true
    this.options.metrics.predictionRatio.observe({ kind: isEngine ? 'engine' : 'plain' }, observedMilliseconds / Math.max(1, prediction.milliseconds))
  }

  /** Records what an upstream asks of the VMs in an answer; one from its address may be of another upstream. */
  recordRequests (upstream: UpstreamState, { isLeaving, pauseMilliseconds, limitPerSecond, brittleRejections, isDeclined, load }: AnswerHead, { isMisdirected }: { readonly isMisdirected: boolean }): void {
    if (isLeaving) this.saidToLeave(upstream)
    if (pauseMilliseconds > 0) this.askedToPause(upstream, pauseMilliseconds)
    if (isMisdirected) return
    if (limitPerSecond !== undefined) this.limitExchange.recordAnswer(upstream, limitPerSecond)
    if (brittleRejections !== undefined) this.nameBrittle(upstream, brittleRejections ?? undefined)
    if (isDeclined) upstream.recordDecline(load)
  }

  recordTakenUp (origin: 'told' | 'concluded' | 'unknown'): void {
    this.options.metrics.takenUpStreams.inc({ origin })
  }

  private nameBrittle (upstream: UpstreamState, rejectionsPerSecond: number | undefined): void {
    const { brittle, announced: { id, service } } = upstream
    const wasBrittle = brittle.isBrittle
    brittle.name(rejectionsPerSecond)
    if (wasBrittle !== brittle.isBrittle) this.log.info('upstream-brittle', { upstream: id, service, rejections: rejectionsPerSecond ?? 'sound' })
  }

  /** Records that an upstream wants no request of this VM for a time. */
  askedToPause (upstream: UpstreamState, milliseconds: number): void {
    upstream.pauseFor(milliseconds)
    this.options.metrics.pauses.inc()
    this.log.info('upstream-paused', { upstream: upstream.announced.id, service: upstream.announced.service, milliseconds: Math.round(milliseconds) })
  }

  /** This VM's running requests and pending (unread) prompt tokens at each upstream, for the other VMs of the region. */
  ownLoads (): ReadonlyMap<UpstreamId, InFlightLoad> {
    const loads = new Map<UpstreamId, InFlightLoad>()
    for (const { announced, ownInFlight, ownPendingTokens } of this.upstreams.all) {
      if (ownInFlight > 0) loads.set(announced.id, { inFlight: ownInFlight, pendingTokens: ownPendingTokens })
    }
    return loads
  }

  /** Removes the loads of VMs that are silent, and of failure domains whose hubs are. */
  removeUnheardLoads (isDomainHeard: (domain: FailureDomainId) => boolean): void {
    this.neighbourLoads.removeUnheard((reporter) => {
      const isDomain = this.settings.domainRegions.has(reporter as FailureDomainId)
      return isDomain ? isDomainHeard(reporter as FailureDomainId) : !this.peers.isSilentVm(reporter as VmId)
    })
  }

  /** Capacity of this VM's region by service, for VMs of other regions. */
  regionForecasts (): ReadonlyMap<ServiceName, ServiceForecast> {
    const forecasts = new Map<ServiceName, ServiceForecast>()
    for (const service of this.configuration?.document.services ?? []) {
      const warm = this.upstreams.usable(service.name, this.settings.region).filter(({ isCold, sendLimit }) => !isCold && sendLimit.allows)
      const healthy = warm.filter(({ isHealthy }) => isHealthy)
      const reachedElsewhere = warm.filter((upstream) => !upstream.isHealthy && this.reach.isReachedByNeighbours(upstream))
      // As in placement, ejected upstreams are used while there are no others; those without a connection would only cost a round trip.
      const tried = warm.filter(({ unreachedSince }) => unreachedSince === undefined)
      const usable = [[...healthy, ...reachedElsewhere], tried].find((upstreams) => upstreams.length > 0) ?? []
      const waits = usable.map((upstream) => predictWait(upstream, service))
      const freeSlots = usable.reduce((sum, upstream) => sum + Math.max(0, Math.min(upstream.announced.slots - upstream.occupancy, upstream.sendLimit.allowance)), 0)
      forecasts.set(service.name, { upstreams: usable.length, waitMilliseconds: waits.length === 0 ? 0 : Math.min(...waits), freeSlots, roomAndNeed: this.settings.hasRegionShares === false ? undefined : this.forecasts.demand.measure(service, usable) })
    }
    return forecasts
  }

  /** A random VM of a region to forward to, of those that are heard, take requests and may reach an upstream of the service. */
  choosePeer (region: RegionId, service: ServiceName, excluded: ReadonlySet<VmId>): PeerIdentity | undefined {
    const peers = this.peers.heardPeers({ readyOnly: true }).filter((peer) => peer.region === region && !excluded.has(peer.vm))
    const reaching = peers.filter(({ vm }) => this.reach.mayServe(vm, service))
    const choices = reaching.length > 0 ? reaching : peers
    return choices[Math.floor(this.random.next() * choices.length)]
  }

  roundTripMillisecondsTo (region: RegionId): number {
    return region === this.settings.region ? regionRoundTripMilliseconds : interRegionRoundTripMilliseconds
  }

  /** One object for all upstreams, since each placement reads it for each of them. Its getters return current values as the region grows or shrinks. */
  private neighbourReports (): NeighbourReports {
    const neighbourCount = (): number => this.peers.neighbourCount
    const intervalMilliseconds = (): number => this.usesHubs ? hubReportIntervalMilliseconds : tickIntervalMilliseconds
    return {
      get neighbourCount () { return neighbourCount() },
      get intervalMilliseconds () { return intervalMilliseconds() }
    }
  }

  private sendShare (upstream: UpstreamId, perSecond: number): number {
    const { vm, region } = this.settings
    const neighbours = this.neighbourNames
    const isReporting = (neighbour: VmId): boolean => !this.usesHubs && this.peers.hasReportedWithin(neighbour, reportingMilliseconds)
    return sendShare({ upstream, self: vm, neighbours, isReporting, count: this.peers.countIn(region), perSecond })
  }

  /** The other VMs of this region that may be running. */
  private get neighbourNames (): readonly VmId[] {
    return this.peers.known.filter(({ region }) => region === this.settings.region).map(({ vm }) => vm)
  }

  /** VMs of this region that may be running, with an allowance for those not yet known. */
  private get maximumRegionVmCount (): number {
    return this.peers.countIn(this.settings.region) + spareVmCount
  }
}
