/**
 * The upstreams that this VM knows, kept in step with their announcements. An
 * upstream counts as cold for a time if it appears while the VM runs, restarts
 * under the same id, or returns from an evacuation.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { ServicePerformance, packPerformance } from './servicePerformance.js'
import { StartSign } from './upstreamStart.js'
import { UpstreamState } from './upstreamState.js'
import type { Clock, FailureDomainId, RegionId, UpstreamId } from '@cuminvale/common'
import type { PackedPerformance } from './servicePerformance.js'
import type { NeighbourReports, SendSharing } from './upstreamState.js'
import type { AnnouncedUpstream, PromptPart, ServiceName, Service, SoftwareVersion } from './types.js'

export interface UpstreamTableOptions {
  readonly clock: Clock
  readonly regionOf: (domain: FailureDomainId) => RegionId | undefined
  readonly findService: (service: ServiceName) => Service | undefined
  readonly neighbourReports?: NeighbourReports
  readonly sendSharing?: SendSharing
  /** Called when an upstream counts as cold that was warm, or was cold by another sign. */
  readonly onCold?: (upstream: UpstreamState) => void
}

export interface UpstreamTableChange {
  readonly added: readonly UpstreamId[]
  readonly removed: readonly UpstreamId[]
  readonly leaving: readonly UpstreamId[]
}

/** Added to the announced cold time, which may be up to one heartbeat old. */
const coldMarginMilliseconds = 1_200
/** Added to the cold time after an evacuation, since the upstreams may have become cold at any time until its end. */
const evacuationColdMarginMilliseconds = 1_500
/** VMs report no shorter parts to each other. */
const minimumSharedTokens = 500
/** Upstreams that are remembered after their records were removed. */
const maximumRemovedCount = 512

export class UpstreamTable {
  private readonly beliefs = new Map<UpstreamId, UpstreamState>()
  /** Upstreams whose records were removed, oldest first. A record may lapse and come back while the upstream runs on. */
  private readonly removedStates = new Map<UpstreamId, UpstreamState>()
  private readonly performances = new Map<ServiceName, ServicePerformance>()
  private evacuated: ReadonlySet<FailureDomainId> = new Set()
  private hasSynced = false
  /** Upstreams that appeared before their service was known, with the time at which they did. */
  private readonly unknownSince = new Map<UpstreamState, number>()

  constructor (private readonly options: UpstreamTableOptions) {}

  find (id: UpstreamId): UpstreamState | undefined {
    return this.beliefs.get(id)
  }

  get all (): Iterable<UpstreamState> {
    return this.beliefs.values()
  }

  /** What the upstreams of a service take for their work, learned from all of them. */
  performanceOf (service: ServiceName): ServicePerformance {
    let performance = this.performances.get(service)
    if (performance === undefined) {
      performance = new ServicePerformance()
      this.performances.set(service, performance)
    }
    return performance
  }

  /** Learned unit times by service, for another VM. */
  get learnedPerformance (): readonly PackedPerformance[] {
    const packed: PackedPerformance[] = []
    for (const [service, { learned }] of this.performances) {
      if (learned !== undefined) packed.push(packPerformance(service, learned))
    }
    return packed
  }

  isEvacuated (domain: FailureDomainId): boolean {
    return this.evacuated.has(domain)
  }

  /** VMs that choose by the same reports. */
  get neighbourCount (): number {
    return this.options.neighbourReports?.neighbourCount ?? 0
  }

  /** Upstreams of a service and region that accept new work. */
  usable (service: ServiceName, region: RegionId): readonly UpstreamState[] {
    return this.staying(service, region).filter(({ pauseMilliseconds }) => pauseMilliseconds === 0)
  }

  /** Whether a service has an upstream of a software version in a region that neither leaves nor is evacuated. */
  hasVersion (service: ServiceName, region: RegionId, version: SoftwareVersion): boolean {
    return this.staying(service, region).some(({ announced }) => announced.softwareVersion === version)
  }

  /** Milliseconds until the first upstream of a service and region accepts new work, if all of them want none for a time; 0 otherwise. */
  pauseMilliseconds (service: ServiceName, region: RegionId): number {
    const pauses = this.staying(service, region).map(({ pauseMilliseconds }) => pauseMilliseconds)
    return pauses.length === 0 ? 0 : Math.min(...pauses)
  }

  /** Milliseconds until the first upstream of a service and region takes one more request, if all that accept work have limits that are used up; 0 otherwise. */
  usedUpMilliseconds (service: ServiceName, region: RegionId): number {
    const usable = this.usable(service, region)
    return usable.length === 0 ? 0 : Math.min(...usable.map(({ sendLimit }) => sendLimit.millisecondsUntilAllowed))
  }

  /** Upstreams of a service and region that neither leave nor are evacuated. */
  private staying (service: ServiceName, region: RegionId): readonly UpstreamState[] {
    const found: UpstreamState[] = []
    for (const upstream of this.beliefs.values()) {
      const { announced } = upstream
      if (announced.service !== service || announced.isLeaving || upstream.hasSaidToLeave || upstream.isReplaced) continue
      if (this.evacuated.has(announced.failureDomain) || this.options.regionOf(announced.failureDomain) !== region) continue
      found.push(upstream)
    }
    return found
  }

  /** Tokens of long parts that an upstream lacks although another one of its service holds them. Short parts aren't reported. */
  tokensHeldElsewhere (upstream: UpstreamState, parts: readonly PromptPart[]): number {
    let heldTokens = 0
    for (const { id, tokens } of parts) {
      if (tokens < minimumSharedTokens || upstream.holdsPart(id)) continue
      for (const other of this.beliefs.values()) {
        if (other.announced.service !== upstream.announced.service || !other.holdsPart(id)) continue
        heldTokens += tokens
        break
      }
    }
    return heldTokens
  }

  /** Applies the announced upstreams and the evacuated failure domains. */
  sync (announced: readonly AnnouncedUpstream[], evacuated: ReadonlySet<FailureDomainId>): UpstreamTableChange {
    const added: UpstreamId[] = []
    const leaving: UpstreamId[] = []
    const listedIds = new Set<UpstreamId>()
    for (const upstream of announced) {
      listedIds.add(upstream.id)
      const existing = this.beliefs.get(upstream.id)
      if (existing === undefined || isNewRun(existing.announced, upstream)) {
        this.add(upstream)
        added.push(upstream.id)
        continue
      }
      if (upstream.isLeaving && !existing.announced.isLeaving) leaving.push(upstream.id)
      existing.announced = upstream
      this.applyAnnouncedCold(existing, upstream.coldMilliseconds)
    }
    const removed = [...this.beliefs.keys()].filter((id) => !listedIds.has(id))
    for (const id of removed) this.remove(id)
    this.applyUnknownServices()
    this.applyEvacuations(evacuated)
    this.forgetServices()
    this.hasSynced = true
    return { added, removed, leaving }
  }

  /** Treats an upstream that was unreachable and answers again as just started. */
  markReturned (upstream: UpstreamState): void {
    this.markCold(upstream, this.coldMilliseconds(upstream.announced.service), StartSign.Returned)
    upstream.clearParts()
  }

  private add (upstream: AnnouncedUpstream): void {
    const earlier = this.beliefs.get(upstream.id) ?? this.removedStates.get(upstream.id)
    this.removedStates.delete(upstream.id)
    if (earlier !== undefined && !isNewRun(earlier.announced, upstream)) return this.restore(earlier, upstream)
    const state = new UpstreamState(this.options.clock, upstream, this.options.neighbourReports, this.options.sendSharing, this.performanceOf(upstream.service))
    if (earlier !== undefined) state.continueFrom(earlier)
    this.beliefs.set(upstream.id, state)
    this.applyAnnouncedCold(state, upstream.coldMilliseconds)
    if (this.hasSynced) this.appeared(state)
  }

  /** Uses an upstream again whose record had lapsed, as it was. */
  private restore (state: UpstreamState, upstream: AnnouncedUpstream): void {
    state.announced = upstream
    state.readmit()
    this.beliefs.set(upstream.id, state)
    this.applyAnnouncedCold(state, upstream.coldMilliseconds)
    if (upstream.startedAt === undefined) this.appeared(state)
    else state.start.suspect(StartSign.Missed)
  }

  private appeared (state: UpstreamState): void {
    const { service } = state.announced
    if (this.options.findService(service) === undefined) this.unknownSince.set(state, this.options.clock.monotonic())
    this.markCold(state, this.coldMilliseconds(service), StartSign.Appeared)
  }

  /** Counts upstreams as cold that appeared before their service was known. */
  private applyUnknownServices (): void {
    for (const [state, since] of this.unknownSince) {
      if (this.options.findService(state.announced.service) === undefined && this.beliefs.get(state.announced.id) === state) continue
      this.unknownSince.delete(state)
      this.markCold(state, this.coldMilliseconds(state.announced.service) - (this.options.clock.monotonic() - since), StartSign.Appeared)
    }
  }

  private remove (id: UpstreamId): void {
    const state = this.beliefs.get(id)
    if (state === undefined) return
    this.beliefs.delete(id)
    this.removedStates.set(id, state)
    const [oldestId] = this.removedStates.keys()
    if (this.removedStates.size > maximumRemovedCount && oldestId !== undefined) this.removedStates.delete(oldestId)
  }

  /** Forgets what was learned of services without an upstream or a configuration: an entry may name another service at each revision. */
  private forgetServices (): void {
    const announced = new Set([...this.beliefs.values()].map(({ announced: { service } }) => service))
    for (const service of this.performances.keys()) {
      if (!announced.has(service) && this.options.findService(service) === undefined) this.performances.delete(service)
    }
  }

  private applyAnnouncedCold (upstream: UpstreamState, milliseconds: number): void {
    if (milliseconds > 0) this.markCold(upstream, milliseconds + coldMarginMilliseconds, StartSign.Announced)
  }

  private applyEvacuations (evacuated: ReadonlySet<FailureDomainId>): void {
    for (const upstream of this.beliefs.values()) {
      const domain = upstream.announced.failureDomain
      if (this.evacuated.has(domain) && !evacuated.has(domain)) {
        this.markCold(upstream, this.coldMilliseconds(upstream.announced.service) + evacuationColdMarginMilliseconds, StartSign.Evacuation)
      }
    }
    this.evacuated = evacuated
  }

  private markCold (upstream: UpstreamState, milliseconds: number, sign: StartSign): void {
    const { start } = upstream
    const earlierSign = start.isCold ? start.sign : undefined
    if (start.markCold(milliseconds, sign) && sign !== earlierSign) this.options.onCold?.(upstream)
  }

  private coldMilliseconds (name: ServiceName): number {
    const service = this.options.findService(name)
    return service === undefined || service.coldRequestsPerSecond <= 0 ? 0 : service.coldSeconds * millisecondsPerSecond
  }
}

const isNewRun = (existing: AnnouncedUpstream, upstream: AnnouncedUpstream): boolean =>
  existing.startedAt !== upstream.startedAt || existing.softwareVersion !== upstream.softwareVersion || existing.host !== upstream.host || existing.port !== upstream.port
