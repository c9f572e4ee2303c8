/**
 * The gateway process of the users' platform: owns the state, the servers and
 * the timers. The daemon package has another Gateway, that of cuminvaled.
 */

import { StopPlan, listEntries } from '@cuminvale/serving'
import { describeError } from './errors.js'
import { discardBody } from './discardBody.js'
import { connectionLimitsOf } from './connectionLimits.js'
import { GatewayCallerServer } from './gatewayCallerServer.js'
import { ExchangeServer, polled } from './exchangeServer.js'
import { ForwardServer } from './forwardServer.js'
import { GatewayMetrics } from './gatewayMetrics.js'
import { GatewayPeerLinks } from './gatewayPeerLinks.js'
import { RecordConfirmation } from './recordConfirmation.js'
import { RecordPoller, RecordRole } from './recordPoller.js'
import { RequestLog } from './requestLog.js'
import { GatewayState } from './gatewayState.js'
import { forwardPath } from './forwardCall.js'
import { checkIntervalMilliseconds, headerCheckIntervalMilliseconds, leavingIdleCloseMilliseconds, leavingListenMilliseconds, leavingAnswerReserveMilliseconds, leavingCloseMilliseconds, leavingSendMilliseconds, maximumSignalDelayMilliseconds, linkHeadTimeoutMilliseconds, linkBacklog, maximumEndpointBodyBytes, tickIntervalMilliseconds } from './constants.js'
import type { Clock, IncarnationId, Random, RegionId } from '@cuminvale/common'
import type { Log } from '@cuminvale/logs'
import type { PeerIdentity } from '@cuminvale/serving'
import type { ConnectionLimits } from './connectionLimits.js'
import type { GatewaySettings, RecordDecoder, RecordSource, RequestCodec } from './types.js'

export interface GatewayProcessOptions {
  readonly settings: GatewaySettings
  /** Addresses at which other VMs and callers reach this VM, if they differ from those that it listens on. */
  readonly advertised?: { readonly linkAddress: string | undefined, readonly callerAddress: string | undefined }
  readonly incarnation: IncarnationId
  readonly codec: RequestCodec
  readonly decoder: RecordDecoder
  readonly source: RecordSource
  readonly log: Log
  readonly clock: Clock
  readonly random: Random
}

/** Ticks between two passes that close idle upstream connections, reset unread ones of callers, and log upstream load. */
const ticksPerSweep = 5

export class GatewayProcess {
  readonly state: GatewayState
  private readonly metrics = new GatewayMetrics()
  private readonly self: PeerIdentity
  private readonly requestLog: RequestLog
  private readonly linkServer: ExchangeServer
  private readonly callerServer: GatewayCallerServer
  private readonly links: GatewayPeerLinks
  private readonly recordPoller: RecordPoller
  private readonly timers: NodeJS.Timeout[] = []
  private tickCount = 0
  /** Monotonic time of the last tick. */
  private tickedAt: number
  /** How late the tick was that ran in this turn of the event loop. */
  private tickLateness = 0
  private left: Promise<void> | undefined
  private readonly failedLeaveSteps = new Set<string>()

  constructor (private readonly options: GatewayProcessOptions) {
    const { settings, advertised, incarnation, clock, log } = options
    const { vm, region, failureDomain, host } = settings
    this.tickedAt = clock.monotonic()
    this.self = {
      vm,
      incarnation,
      region,
      failureDomain,
      linkAddress: advertised?.linkAddress ?? `${host}:${settings.linkPort}`,
      callerAddress: advertised?.callerAddress ?? `${host}:${settings.callerPort}`,
      processorCapacity: settings.processorCapacity,
      holdsNewVersions: true
    }
    this.state = new GatewayState({ ...options, self: this.self, metrics: this.metrics })
    this.requestLog = new RequestLog(clock, log, this.metrics, () => this.state.stopPlan?.signalledAt)
    const forwards = new ForwardServer(this.state, this.requestLog)
    this.linkServer = new ExchangeServer({ acceptsUpgrades: true, maximumConnections: this.connectionLimits.links, makeRoom: () => this.state.callerMemory.giveWayOne(), headersTimeout: linkHeadTimeoutMilliseconds, connectionsCheckingInterval: headerCheckIntervalMilliseconds }, (request, response) => {
      if (request.url === forwardPath) return forwards.handle(request, response)
      discardBody(request, maximumEndpointBodyBytes)
      response.writeHead(404).end()
    })
    this.linkServer.keepAliveTimeout = 0
    this.callerServer = new GatewayCallerServer(this.state, this.requestLog, this.metrics)
    this.links = new GatewayPeerLinks({
      state: this.state, self: this.self, server: this.linkServer, isSourceLost: () => this.recordPoller.isSourceLost || this.state.configuration === undefined, onRecordsAdopted: () => this.adoptRecords(), onSuspension: () => this.onSuspension()
    })
    this.recordPoller = new RecordPoller({
      state: this.state,
      source: options.source,
      metrics: this.metrics,
      feed: this.links.feed,
      role: () => this.links.recordRole,
      onChange: () => this.adoptRecords(),
      onChangesRead: (changes, after) => this.links.feedChanges(changes, after)
    })
    const confirmation = new RecordConfirmation({ clock, records: this.state.records, read: async () => await this.confirmRecords() })
    this.state.confirmRecords = async (since) => await confirmation.confirmSince(since)
  }

  async start (): Promise<void> {
    const { settings } = this.options
    await new Promise<void>((resolve, reject) => {
      this.linkServer.once('error', reject)
      this.linkServer.listen({ host: settings.host, port: settings.linkPort, backlog: linkBacklog }, () => resolve())
    })
    await this.callerServer.listen(settings.host, settings.callerPort)
    this.links.tick()
    this.recordPoller.tick()
    this.tickedAt = this.options.clock.monotonic()
    this.timers.push(setInterval(() => this.onTick(), tickIntervalMilliseconds))
    this.options.log.info('started', { region: settings.region, domain: settings.failureDomain, seeds: settings.seeds.join() })
  }

  get connectionLimits (): ConnectionLimits {
    return connectionLimitsOf(this.options.settings)
  }

  get callerPort (): number {
    return this.callerServer.port
  }

  get linkPort (): number {
    const address = this.linkServer.address()
    return address === null || typeof address === 'string' ? 0 : address.port
  }

  get isReady (): boolean {
    return this.state.isReady
  }

  /** Addresses to which callers of a region should connect for a host; empty until a configuration is known. */
  entries (region: RegionId | undefined, host: string): readonly string[] {
    const { configuration } = this.state
    if (configuration === undefined) return []
    const peers = this.state.peers.heardPeers({ readyOnly: true })
    return listEntries({ region, homes: configuration.homesOf(host), vms: this.state.isReady ? [this.self, ...peers] : peers })
  }

  async metricsText (): Promise<string> {
    this.metrics.peers.set(this.state.peers.heardPeers({ readyOnly: false }).length)
    this.metrics.limitedUpstreams.set(this.state.limitExchange.limitedCount)
    this.metrics.callerMemoryBytes.set(this.state.callerMemory.total)
    this.metrics.regionShares.reset()
    for (const { region, service, perSecond } of this.state.forecasts.shares.all) this.metrics.regionShares.set({ region, service }, perSecond)
    for (const [service, level] of this.state.admission.levels()) this.metrics.admissionLevel.set({ service }, level)
    return await this.metrics.registry.metrics()
  }

  setSeeds (seeds: readonly string[]): void {
    this.links.setSeeds(seeds)
  }

  /** Shuts down gracefully: stops accepting callers, and resolves when all requests have been answered or the grace period has expired. Further calls wait for the same end. */
  async leave (): Promise<void> {
    this.left ??= this.shutDown()
    await this.left
  }

  /** What the stop has left: connections of callers and forwards that are open, and answers that were cut. */
  get remainder (): { readonly connections: number, readonly forwards: number, readonly answersCut: number } {
    const { connectionCount, cutAnswerCount } = this.callerServer
    return { connections: connectionCount, forwards: this.linkServer.exchangeCount, answersCut: cutAnswerCount }
  }

  close (): void {
    this.timers.forEach((timer) => clearInterval(timer))
    this.state.executions.close()
    this.state.reach.close()
    this.recordPoller.stop()
    this.links.close()
    this.callerServer.closeAll()
    this.linkServer.close()
    this.linkServer.closeAllConnections()
    this.state.connections.detachedCalls.close()
    this.state.connections.closeAll()
    this.state.forwardPools.closeAll()
    this.options.source.close()
  }

  private async shutDown (): Promise<void> {
    const { state } = this
    const { log, clock, settings } = this.options
    state.isLeaving = true
    const waited = this.signalDelayMilliseconds
    const signalledAt = clock.monotonic() - waited
    const plan = new StopPlan({ signalledAt, graceMilliseconds: settings.bounds.leavingGraceMilliseconds, reserveMilliseconds: leavingAnswerReserveMilliseconds })
    state.stopPlan = plan
    const delayUntil = async (time: number): Promise<void> => await delay(Math.max(0, time - clock.monotonic()))
    log.info('leaving', { underWay: state.executions.size, waited: Math.round(waited) })
    this.callerServer.awaitNextRequests()
    await this.runLeaveStep('announce', () => this.links.tick({ isUrgent: true }))
    await delayUntil(plan.listensUntil(leavingIdleCloseMilliseconds))
    await this.closeIdleCallers()
    await delayUntil(plan.listensUntil(leavingListenMilliseconds))
    await this.runLeaveStep('stop-listening', async () => await this.callerServer.stopListening())
    while (this.isBusy && clock.monotonic() < plan.endsAt) {
      await delay(checkIntervalMilliseconds)
      await this.closeIdleCallers()
    }
    // Answers may have arrived while the event loop was behind.
    await polled()
    const abandoned = state.executions.size
    await this.runLeaveStep('end-requests', () => state.executions.close())
    log.info('left', { abandoned, ...this.requestLog.stopCounts, total: Math.round(clock.monotonic() - signalledAt) })
    const sendUntil = plan.endsAt + leavingSendMilliseconds
    // Once at least: requests that were read last still wait for their refusal.
    do await delay(checkIntervalMilliseconds)
    while (this.isBusy && clock.monotonic() < sendUntil)
    const closeUntil = Math.min(clock.monotonic() + leavingCloseMilliseconds, sendUntil)
    while (this.callerServer.halfClosedCount > 0 && clock.monotonic() < closeUntil) await delay(checkIntervalMilliseconds)
    await this.runLeaveStep('cut-unsent', () => this.callerServer.cutUnsent())
    await this.runLeaveStep('end-links', () => this.links.leave())
    await delay(checkIntervalMilliseconds)
  }

  private async closeIdleCallers (): Promise<void> {
    await this.runLeaveStep('close-idle', async () => await this.callerServer.closeIdle())
  }

  /** Runs a step of the stop. If it throws, the other steps follow all the same, since requests may be under way. */
  private async runLeaveStep (name: string, step: () => void | Promise<void>): Promise<void> {
    try {
      await step()
    } catch (error) {
      // A step that is repeated may throw each time.
      if (!this.failedLeaveSteps.has(name)) this.options.log.error('leave-step-failed', { step: name, detail: describeError(error) })
      this.failedLeaveSteps.add(name)
    }
  }

  /** Upper bound of the time for which the stop signal may have waited for the event loop, in which timers come before it. */
  private get signalDelayMilliseconds (): number {
    const lateness = Math.max(this.tickLateness, this.options.clock.monotonic() - this.tickedAt - tickIntervalMilliseconds)
    // The loop may have stood still since the tick before.
    return lateness <= checkIntervalMilliseconds ? 0 : Math.min(maximumSignalDelayMilliseconds, lateness + tickIntervalMilliseconds)
  }

  /** Whether a request is expected, is being read, is under way, or waits for its answer to be sent. */
  private get isBusy (): boolean {
    return this.callerServer.awaitedCount > 0 || this.state.executions.size > 0 || this.callerServer.exchangeCount > 0 || this.linkServer.exchangeCount > 0
  }

  /** A VM that is fed reads the source only if no VM confirms its records that reads it anyhow. */
  private async confirmRecords (): Promise<boolean> {
    const isConfirmed = this.links.recordRole === RecordRole.Fed && await this.links.confirmations.request()
    return isConfirmed || await this.recordPoller.readCurrent()
  }

  private adoptRecords (): void {
    this.state.adoptRecords()
    this.callerServer.applyTimeouts()
  }

  /** Logs the inputs of placement, so that the choice of an upstream can be explained afterwards. */
  private logUpstreamLoads (): void {
    const { state } = this
    const upstreamLoads = [...state.upstreams.all].filter(({ ownInFlight, neighbourLoad }) => ownInFlight + neighbourLoad.inFlight > 0).map((upstream) =>
      `${upstream.announced.id}:${upstream.ownInFlight}+${upstream.neighbourLoad.inFlight}/${upstream.occupancy}:${Math.round(upstream.ownPendingTokens)}+${Math.round(upstream.neighbourLoad.pendingTokens)}:x${upstream.performance.slowness.toFixed(2)}`)
    const { median: errorMedian, p90: errorP90 } = state.predictionErrors.take()
    const { shares, demand } = state.forecasts
    const shareTexts = shares.all.filter(({ service }) => demand.needPerSecond(service) >= 1).map(({ region, service, perSecond }) => `${region}/${service}:${Math.round(perSecond)}`)
    if (upstreamLoads.length === 0) return
    this.options.log.info('beliefs', {
      upstreams: upstreamLoads.join(' '), errorMedian, errorP90, shares: shareTexts.length === 0 ? undefined : shareTexts.join(' '), peers: state.peers.heardPeers({ readyOnly: true }).length, share: state.peers.heardShare()
    })
  }

  private onTick (): void {
    const now = this.options.clock.monotonic()
    this.tickLateness = now - this.tickedAt - tickIntervalMilliseconds
    this.tickedAt = now
    // The sockets are polled in between, and with them a signal that waited.
    if (this.tickLateness > checkIntervalMilliseconds) setImmediate(() => { this.tickLateness = 0 })
    if (this.state.records.removeLapsed()) this.adoptRecords()
    this.state.observeVersions()
    this.state.starts.tick()
    this.links.tick()
    this.recordPoller.tick()
    this.tickCount += 1
    if (this.tickCount % ticksPerSweep !== 0) return
    this.state.connections.closeExpired()
    this.callerServer.resetUnread()
    this.logUpstreamLoads()
    this.state.starts.logSends()
  }

  /** Upstreams may have closed the idle connections in the meantime. */
  private onSuspension (): void {
    this.options.log.warn('suspended')
    this.state.recordStandstill()
    this.state.connections.closeAll()
  }
}

const delay = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))
