/**
 * What this VM knows of software versions: those that services have and had, and
 * those at which streams began, of its callers and of other VMs. Kept in step
 * with the published records and with what other VMs tell.
 */

import { RequestKind, ServingConfiguration, SoftwareVersionHistory, UnprovenVersion, describePosition, eraOf } from '@cuminvale/serving'
import { StreamOriginExchange } from './streamOriginExchange.js'
import { StreamsUnderWay } from './streamsUnderWay.js'
import { VersionHandOvers } from './versionHandOvers.js'
import type { Clock, FailureDomainId, RegionId } from '@cuminvale/common'
import type { Log } from '@cuminvale/logs'
import type {
  AdmittedRequest, AnnouncedUpstream, PeerIdentity, PeerTable, PublishedRecords, RequestHead, Route, RouteTable, RoutedStream, ServiceName, ServingVersion, SoftwareVersion, StreamKey, StreamOrigin, WeightedService
} from '@cuminvale/serving'
import type { OriginLinks } from './streamOriginExchange.js'
import type { BegunStream } from './streamsUnderWay.js'
import type { RecordChanges, RecordDecoder } from './types.js'

export interface VersionTrackingOptions {
  readonly clock: Clock
  readonly log: Log
  readonly self: PeerIdentity
  readonly peers: PeerTable
  readonly records: Pick<PublishedRecords, 'at'>
  readonly decoder: Pick<RecordDecoder, 'decodeOne'>
  readonly recordAgeMilliseconds: () => number
  readonly regionOf: (domain: FailureDomainId) => RegionId | undefined
  readonly configuration: () => ServingConfiguration | undefined
  readonly links: () => OriginLinks
}

/** Why no origin of a stream is proven. */
export const UnprovenOrigin = { ...UnprovenVersion, SeveralServices: 'the route goes to several services' } as const
export type UnprovenOrigin = typeof UnprovenOrigin[keyof typeof UnprovenOrigin]

export type OriginProofResult = { readonly origin: StreamOrigin } | { readonly origin: undefined, readonly reason: UnprovenOrigin }

export class VersionTracking {
  readonly history: SoftwareVersionHistory
  readonly handOvers: VersionHandOvers
  readonly origins: StreamOriginExchange
  private readonly underWay: StreamsUnderWay
  private routes: RouteTable | undefined
  /** Rises each time the source of the records comes back from an older copy. */
  private era = 0

  constructor (private readonly options: VersionTrackingOptions) {
    const { clock, log, self, peers, records, configuration, links } = options
    this.history = new SoftwareVersionHistory(clock)
    this.handOvers = new VersionHandOvers({
      clock,
      log,
      history: this.history,
      peers,
      configuration,
      position: () => records.at,
      linked: () => {
        const { near, far } = links()
        return [...near, ...far]
      }
    })
    this.origins = new StreamOriginExchange({
      clock,
      self,
      links,
      onVersionReported: (version) => {
        const isNew = this.history.recordReported(version)
        if (isNew) this.underWay.review()
        return isNew
      }
    })
    this.underWay = new StreamsUnderWay({ clock, conclude: (routed, lifetime) => this.conclude(routed, lifetime), tell: (key, origin) => this.origins.tell(key, origin) })
  }

  /** Applies the published records, and tells other VMs of versions that are new. */
  sync (upstreams: readonly AnnouncedUpstream[], evacuated: ReadonlySet<FailureDomainId>): void {
    const { configuration, records } = this.options
    const routes = configuration()?.routes
    const era = eraOf(records.at)
    if (era !== this.era) this.history.recordRestore()
    this.era = era
    const added = this.history.sync(upstreams, routes, this.servingVersions(upstreams, evacuated))
    this.origins.announceVersions(added)
    if (added.length > 0 || routes !== this.routes) this.underWay.review()
    this.routes = routes
  }

  /** Records a stream that began at this VM, or went on here; other VMs are told of it unless they conclude its version as this one does. */
  recordBegin (key: StreamKey, stream: BegunStream): void {
    if (this.origins.recordBegin(key, stream.origin)) this.underWay.add(key, stream)
  }

  /** Records that a stream was passed on whole. */
  recordWhole (key: StreamKey): void {
    this.underWay.recordWhole(key)
  }

  /** The targets of a route at which a request may begin. */
  targetsFor (route: Route, { host, path }: Pick<RequestHead, 'host' | 'path'>): readonly WeightedService[] {
    const { kind, isResumable, targets } = route
    if (kind !== RequestKind.Stream || !isResumable || targets.length === 1) return targets
    return this.history.routing.establishedTargets({ host, path }, targets, this.options.clock.monotonic())
  }

  /**
   * The origin of a stream that is taken up while something is new. Versions and
   * services that all VMs still hold down don't count, as no stream began there.
   */
  proveByHoldDown ({ head: { host, path }, service }: Pick<AdmittedRequest, 'head' | 'service'>, lifetimeMilliseconds: number): OriginProofResult {
    const route = this.options.configuration()?.routes.find(host, path)
    if (route === undefined) return { origin: undefined, reason: UnprovenOrigin.OtherRouting }
    const sole = route.targets.length === 1 ? service : this.history.soleUsedService({ host, path }, route.targets.map((target) => target.service), lifetimeMilliseconds)
    if (sole === undefined) return { origin: undefined, reason: UnprovenOrigin.SeveralServices }
    const proven = this.history.prove({ host, path, service: sole }, lifetimeMilliseconds, { leavesOutHeldDown: true })
    return proven.softwareVersion === undefined ? { origin: undefined, reason: proven.reason } : { origin: { service: sole, softwareVersion: proven.softwareVersion } }
  }

  /** The version that this VM would conclude for a stream on a path, without a proof that it knows all. */
  private conclude ({ host, path, service }: RoutedStream, lifetimeMilliseconds: number): SoftwareVersion | undefined {
    const route = this.options.configuration()?.routes.find(host, path)
    if (route === undefined || route.targets.length !== 1 || route.targets[0]?.service !== service) return undefined
    return this.history.provenVersion({ host, path, service }, lifetimeMilliseconds)
  }

  /** Called every tick. Returns false if this VM has stood still since the last one. */
  observe (): boolean {
    const { peers, records, recordAgeMilliseconds } = this.options
    const isCurrent = this.history.observe({ recordAgeMilliseconds: recordAgeMilliseconds(), recordPosition: records.at, silentSince: peers.silentSince, isHeldSince: peers.isHeldSince })
    this.handOvers.tick()
    // An interruption, a gap of the records or a VM that was never heard ends all conclusions.
    if (this.history.isComplete(this.options.configuration()?.longestStreamMilliseconds ?? 0)) this.underWay.removeEnded()
    else this.underWay.review()
    this.origins.tellNewKeepers(this.underWay)
    return isCurrent
  }

  /** Records that this VM stood still. */
  interrupt (): void {
    this.history.interrupt()
    this.handOvers.forgetRequest()
  }

  /** Records what this VM has read from the source of the records after a position: it shows what was published while its records were old. */
  recordSourceChanges ({ changes, at, skipped = 0 }: RecordChanges, after: number): void {
    const { log, decoder } = this.options
    if (!this.history.isInGapSince(after) || skipped > 0) return
    const published = changes.flatMap(({ key, value, revision }) => value === undefined ? [] : [decoder.decodeOne({ key, value, revision })])
    const versions = published.flatMap(({ upstream }) => upstream ?? [])
    const routings = published.flatMap(({ configuration }) => configuration === undefined ? [] : [new ServingConfiguration(configuration).routes])
    this.history.recordPassed(versions, routings)
    this.history.bridgeGap(after, at)
    log.info('record-gap-read', { changes: changes.length, after: describePosition(after), at: describePosition(at), versions: versions.length, routings: routings.length })
  }

  /** The versions that accept new work, each region once. */
  private servingVersions (upstreams: readonly AnnouncedUpstream[], evacuated: ReadonlySet<FailureDomainId>): readonly ServingVersion[] {
    const serving: ServingVersion[] = []
    const domainsByService = new Map<ServiceName, Map<SoftwareVersion, Set<FailureDomainId>>>()
    for (const { service, softwareVersion, failureDomain, isLeaving } of upstreams) {
      if (isLeaving) continue
      let versions = domainsByService.get(service)
      if (versions === undefined) domainsByService.set(service, versions = new Map())
      let domains = versions.get(softwareVersion)
      if (domains === undefined) versions.set(softwareVersion, domains = new Set())
      if (domains.has(failureDomain)) continue
      domains.add(failureDomain)
      const region = evacuated.has(failureDomain) ? undefined : this.options.regionOf(failureDomain)
      if (region !== undefined) serving.push({ service, region, softwareVersion })
    }
    return serving
  }
}
