/**
 * The other VMs, as VMs report them to each other; there is no published list.
 * VMs of a small region hear each other directly. In a large region they are
 * known from the reports of the hubs of each failure domain, and VMs of another
 * region from the reports of its speakers. A VM is used only while it is heard in one
 * of these ways. A silent VM is still counted, since it may be partitioned and
 * still serving. A VM is removed once it announces that it leaves, or once it
 * has been silent for a long time.
 */

import type { Clock, FailureDomainId, IncarnationId, RegionId, VmId } from '@cuminvale/common'

export interface PeerIdentity {
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** Host and port where other VMs connect their links. */
  readonly linkAddress: string
  /** Host and port where callers connect; empty if the VM accepts none. */
  readonly callerAddress: string
  /** Processor time that the VM may use, in seconds of one core per second. */
  readonly processorCapacity: number
  /** Whether the VM begins no streams at software versions and services that are new; absent from builds that don't hold them down. */
  readonly holdsNewVersions?: boolean
}

export const PeerStanding = {
  Ready: 'ready',
  /** It stops, or knows no configuration yet. */
  NotReady: 'not-ready',
  /** It announced that it left. */
  Left: 'left',
  Unknown: 'unknown'
} as const
export type PeerStanding = typeof PeerStanding[keyof typeof PeerStanding]

/** A VM as a speaker of its region reports it. */
export interface RegionMember {
  readonly identity: PeerIdentity
  readonly isReady: boolean
}

interface Peer {
  identity: PeerIdentity
  /**
   * Time of the last direct message, or of the last member list that named a VM
   * of another region. Silence in another region is judged by its reports instead.
   */
  heardAt: number
  /** Time at which this record was last written; keeps a VM that was named but never heard from being removed at once. */
  recordedAt: number
  isReady: boolean
  /** Time at which another VM had heard it last, if this VM never has. */
  heardElsewhereAt?: number
  /** Increases with each VM or incarnation that becomes known, so that other VMs can be sent only the new ones. */
  serial: number
}

/** VMs of a region or failure domain as last reported, by link address. */
interface ReportedGroup {
  heardAt: number
  members: ReadonlySet<string>
}

/** Silence after which a VM that is heard directly is not heard: three heartbeats at most 400 ms apart, plus 100 ms. */
const silentAfterMilliseconds = 1_300
/** Silence after which a region is not heard; its reports take one more hop than heartbeats. */
const regionSilentAfterMilliseconds = 1_500
/** Silence after which a failure domain is not heard; covers the change to another hub. */
const domainSilentAfterMilliseconds = 2_600
/** Silence after which contact with a VM of the region may be lost: three heartbeats. */
const lostAfterMilliseconds = 700
/** Time for which a VM that fell silent shows that contact may be lost; one that is silent for longer has likely ended. */
const lossMemoryMilliseconds = 10_000
/** Time for which the share of the VMs that are heard is kept before it is counted again; every charge to a team reads it. */
const heardShareLifetimeMilliseconds = 100
/** Silence after which a VM is removed; far longer than the network partitions that the deployment expects. */
const peerRetentionMilliseconds = 120_000
/** Time for which a VM that left is not added again if others still name it; gossip about it ends far sooner. */
const departureRetentionMilliseconds = 60_000
/** Time for which a departure is reported to other regions. */
const departureReportMilliseconds = 5_000
/** Fleet size that a VM assumes before it knows any other VM. */
const assumedFleetSize = 16

/** Least region size that a VM assumes in its first 3 s, and later while it knows no VM of the region. */
const assumedRegionSize = 8
/** Time by which a VM has learned of the others; connecting a link takes two round trips between regions. */
const settledAfterMilliseconds = 3_000

interface Departure {
  readonly identity: PeerIdentity
  readonly at: number
}

export class PeerTable {
  private readonly peers = new Map<string, Peer>()
  private readonly regions = new Map<RegionId, ReportedGroup>()
  private readonly domains = new Map<FailureDomainId, ReportedGroup>()
  private readonly departures = new Map<string, Departure>()
  private readonly startedAt: number
  private lastSerial = 0
  /** Time at which the last VM or incarnation became known. */
  private lastAddedAt = -Infinity
  private cachedNeighbourCount = 0
  private cachedHeardShare = { share: 0, countedAt: -Infinity }

  constructor (private readonly clock: Clock, private readonly self: PeerIdentity) {
    this.startedAt = clock.monotonic()
  }

  /** Known VMs of this VM's region, heard or not; cached, since every placement reads it. */
  get neighbourCount (): number {
    return this.cachedNeighbourCount
  }

  /** Records a message that came directly from a VM of the same region. */
  recordContact (identity: PeerIdentity, isReady: boolean): void {
    if (identity.linkAddress === this.self.linkAddress || this.hasDeparted(identity)) return
    const now = this.clock.monotonic()
    const existing = this.peers.get(identity.linkAddress)
    const serial = existing?.identity.incarnation === identity.incarnation ? existing.serial : this.nextSerial()
    if (existing === undefined) this.add({ identity, heardAt: now, recordedAt: now, isReady, serial })
    else Object.assign(existing, { identity, heardAt: now, recordedAt: now, isReady, serial })
  }

  /** Records that a VM has introduced itself. It stays ready if its incarnation was ready; a new incarnation is not ready yet. */
  recordIntroduction (identity: PeerIdentity): void {
    if (identity.region !== this.self.region) {
      this.addNamed(identity)
      return
    }
    const existing = this.peers.get(identity.linkAddress)
    this.recordContact(identity, existing?.identity.incarnation === identity.incarnation && existing.isReady)
  }

  /** Adds a VM that another VM named. Returns false for this VM, a known VM and an incarnation that has departed. */
  addNamed (identity: PeerIdentity): boolean {
    const { linkAddress } = identity
    if (linkAddress === this.self.linkAddress || this.peers.has(linkAddress) || this.hasDeparted(identity)) return false
    this.add({ identity, heardAt: -Infinity, recordedAt: this.clock.monotonic(), isReady: false, serial: this.nextSerial() })
    return true
  }

  /** Records a speaker's report. Without a member list, the last list remains valid; if there is none, the report is ignored. */
  recordRegionReport (region: RegionId, members: readonly RegionMember[] | undefined): void {
    if (region === this.self.region) return
    this.recordGroup(this.regions, region, members)
  }

  /** Records a report of a hub about a failure domain of this region; the member list is as in recordRegionReport. */
  recordDomainReport (domain: FailureDomainId, members: readonly RegionMember[] | undefined): void {
    this.recordGroup(this.domains, domain, members)
  }

  private recordGroup<Key extends string> (groups: Map<Key, ReportedGroup>, key: Key, members: readonly RegionMember[] | undefined): void {
    const now = this.clock.monotonic()
    if (members === undefined) {
      const existing = groups.get(key)
      if (existing !== undefined) existing.heardAt = now
      return
    }
    for (const { identity, isReady } of members) {
      const { linkAddress, incarnation } = identity
      if (linkAddress === this.self.linkAddress || this.hasDeparted(identity)) continue
      // Silence of a VM of this region is judged by its own messages or by its hubs' reports, so they are kept apart.
      const heardAt = identity.region === this.self.region ? this.peers.get(linkAddress)?.heardAt ?? -Infinity : now
      const existing = this.peers.get(linkAddress)
      if (existing === undefined) this.add({ identity, heardAt, recordedAt: now, isReady, serial: this.nextSerial() })
      else if (existing.identity.incarnation === incarnation) Object.assign(existing, { heardAt, recordedAt: now, isReady })
      else Object.assign(existing, { identity, heardAt, recordedAt: now, isReady, serial: this.nextSerial() })
    }
    groups.set(key, { heardAt: now, members: new Set(members.map(({ identity }) => identity.linkAddress)) })
  }

  /** Removes a VM that announced that it leaves; it uses no share of the rate limits from then on. */
  left (identity: PeerIdentity): void {
    const existing = this.peers.get(identity.linkAddress)
    if (existing !== undefined && existing.identity.incarnation !== identity.incarnation) return
    this.delete(identity.linkAddress)
    this.departures.set(identity.linkAddress, { identity, at: this.clock.monotonic() })
  }

  removeExpired (): void {
    const now = this.clock.monotonic()
    for (const [address, { heardAt, recordedAt }] of this.peers) {
      if (Math.max(heardAt, recordedAt) < now - peerRetentionMilliseconds) this.delete(address)
    }
    for (const [address, { at }] of this.departures) {
      if (at < now - departureRetentionMilliseconds) this.departures.delete(address)
    }
  }

  /** VMs of this VM's region that left recently, for reports to other regions. */
  get recentDepartures (): readonly PeerIdentity[] {
    const oldestDepartureAt = this.clock.monotonic() - departureReportMilliseconds
    return [...this.departures.values()].filter(({ identity, at }) => at >= oldestDepartureAt && identity.region === this.self.region).map(({ identity }) => identity)
  }

  /** The VM at a link address, if it is known. */
  find (linkAddress: string): PeerIdentity | undefined {
    return this.peers.get(linkAddress)?.identity
  }

  /** Whether this incarnation of the VM is known. */
  isKnown ({ linkAddress, incarnation }: PeerIdentity): boolean {
    return this.peers.get(linkAddress)?.identity.incarnation === incarnation
  }

  /** Records that a VM refused a request since it stops; reports that name it as ready are older. */
  recordStopping (vm: VmId): void {
    for (const peer of this.peers.values()) {
      if (peer.identity.vm === vm) peer.isReady = false
    }
  }

  /** Whether a VM takes new requests, as far as it or others have said. */
  standingOf (vm: VmId): PeerStanding {
    for (const { identity, isReady } of this.peers.values()) {
      if (identity.vm === vm) return isReady ? PeerStanding.Ready : PeerStanding.NotReady
    }
    return [...this.departures.values()].some(({ identity }) => identity.vm === vm) ? PeerStanding.Left : PeerStanding.Unknown
  }

  /** Whether the VM is unknown or is not heard. */
  isSilentVm (vm: VmId): boolean {
    for (const peer of this.peers.values()) {
      if (peer.identity.vm === vm) return this.isSilentPeer(peer)
    }
    return true
  }

  /** Whether a VM of this region has sent this VM a message within the last milliseconds. */
  hasReportedWithin (vm: VmId, milliseconds: number): boolean {
    const oldest = this.clock.monotonic() - milliseconds
    for (const { identity, heardAt } of this.peers.values()) {
      if (identity.vm === vm) return identity.region === this.self.region && heardAt >= oldest
    }
    return false
  }

  /** Whether the VM at a link address is unknown or is not heard. */
  isSilent (linkAddress: string): boolean {
    const peer = this.peers.get(linkAddress)
    return peer === undefined || this.isSilentPeer(peer)
  }

  /** Every other VM that may be running, heard or not. */
  get known (): readonly PeerIdentity[] {
    return [...this.peers.values()].map(({ identity }) => identity)
  }

  /** Increases with each VM or incarnation that becomes known. */
  get serial (): number {
    return this.lastSerial
  }

  /** VMs and incarnations that became known after the given serial, and the newest serial. */
  knownSince (serial: number): { readonly identities: readonly PeerIdentity[], readonly serial: number } {
    const newPeers = serial === this.lastSerial ? [] : [...this.peers.values()].filter((peer) => peer.serial > serial)
    return { identities: newPeers.map(({ identity }) => identity), serial: this.lastSerial }
  }

  /** VMs that are heard; with readyOnly, only those that accept new work. */
  heardPeers (options: { readonly readyOnly: boolean }): readonly PeerIdentity[] {
    return [...this.peers.values()]
      .filter((peer) => !this.isSilentPeer(peer) && (peer.isReady || !options.readyOnly))
      .map(({ identity }) => identity)
  }

  /** Monotonic time since which a VM that may be running has not been heard: -Infinity if one never was, undefined if all are heard. */
  get silentSince (): number | undefined {
    const silent = [...this.peers.values()].filter((peer) => this.isSilentPeer(peer))
    return silent.length === 0 ? undefined : Math.min(...silent.map((peer) => Math.max(this.heardAt(peer), peer.heardElsewhereAt ?? -Infinity)))
  }

  /** Link addresses of VMs that may be running and of which it isn't known when any VM heard them. */
  get neverHeard (): readonly string[] {
    return [...this.peers].filter(([, peer]) => this.heardAt(peer) === -Infinity && peer.heardElsewhereAt === undefined).map(([address]) => address)
  }

  /** Milliseconds since the VM at a link address was heard, or left; undefined if it is unknown or never was heard. */
  heardAge (linkAddress: string): number | undefined {
    const peer = this.peers.get(linkAddress)
    const at = peer === undefined ? this.departures.get(linkAddress)?.at : Math.max(this.heardAt(peer), peer.heardElsewhereAt ?? -Infinity)
    return at === undefined || at === -Infinity ? undefined : this.clock.monotonic() - at
  }

  /** Records when another VM had heard a VM that this one has not. */
  recordHeardElsewhere (linkAddress: string, at: number): void {
    const peer = this.peers.get(linkAddress)
    if (peer !== undefined) peer.heardElsewhereAt = at
  }

  /** Monotonic time since which all VMs that may be running hold new software versions down; Infinity if one doesn't. */
  get isHeldSince (): number {
    for (const { identity: { holdsNewVersions = false } } of this.peers.values()) {
      if (!holdsNewVersions) return Infinity
    }
    return this.lastAddedAt
  }

  /** Whether at least half of the VMs that were heard lately have fallen silent. */
  get hasLostMost (): boolean {
    const now = this.clock.monotonic()
    let heardCount = 0
    let lostCount = 0
    for (const peer of this.peers.values()) {
      const heardAt = this.heardAt(peer)
      if (now - heardAt > lossMemoryMilliseconds) continue
      heardCount += 1
      if (now - heardAt > this.lostAfter(peer, heardAt)) lostCount += 1
    }
    return lostCount > 0 && lostCount * 2 >= heardCount
  }

  /** Silence after which contact with a VM may be lost, by the way in which it was heard last. */
  private lostAfter (peer: Peer, heardAt: number): number {
    if (peer.identity.region !== this.self.region) return regionSilentAfterMilliseconds
    return heardAt > peer.heardAt ? domainSilentAfterMilliseconds : lostAfterMilliseconds
  }

  /** VMs of this VM's region that are heard, and whether they accept new work. */
  get heardNeighbours (): readonly RegionMember[] {
    return [...this.peers.values()]
      .filter((peer) => peer.identity.region === this.self.region && !this.isSilentPeer(peer))
      .map(({ identity, isReady }) => ({ identity, isReady }))
  }

  /** Other regions that are heard, with their VMs. */
  get heardRegions (): ReadonlyArray<readonly [RegionId, readonly RegionMember[]]> {
    return this.heardGroups(this.regions, regionSilentAfterMilliseconds)
  }

  /** Monotonic time of the last report of another region; -Infinity if there was none. */
  regionHeardAt (region: RegionId): number {
    return this.regions.get(region)?.heardAt ?? -Infinity
  }

  /** Failure domains of this region that are heard through hubs, with their VMs. */
  get heardDomains (): ReadonlyArray<readonly [FailureDomainId, readonly RegionMember[]]> {
    return this.heardGroups(this.domains, domainSilentAfterMilliseconds)
  }

  private heardGroups<Key extends string> (groups: ReadonlyMap<Key, ReportedGroup>, silentAfter: number): ReadonlyArray<readonly [Key, readonly RegionMember[]]> {
    const now = this.clock.monotonic()
    return [...groups].filter(([, { heardAt }]) => now - heardAt <= silentAfter).map(([key, { members }]) =>
      [key, [...members].map((address) => this.peers.get(address)).filter((peer) => peer !== undefined).map(({ identity, isReady }) => ({ identity, isReady }))] as const)
  }

  /** Other regions with at least one VM that is heard and ready; read by every placement. */
  get readyRegions (): readonly RegionId[] {
    const now = this.clock.monotonic()
    const ready: RegionId[] = []
    for (const [region, { heardAt, members }] of this.regions) {
      if (now - heardAt > regionSilentAfterMilliseconds) continue
      for (const address of members) {
        if (this.peers.get(address)?.isReady !== true) continue
        ready.push(region)
        break
      }
    }
    return ready
  }

  /** Share of the possibly running VMs that this VM hears, itself included; 0 to 1. 1/16 if no other VM is known. */
  heardShare (): number {
    if (this.peers.size === 0) return 1 / assumedFleetSize
    const now = this.clock.monotonic()
    if (now - this.cachedHeardShare.countedAt > heardShareLifetimeMilliseconds) {
      let heard = 0
      for (const peer of this.peers.values()) {
        if (!this.isSilentPeer(peer)) heard += 1
      }
      this.cachedHeardShare = { share: (heard + 1) / (this.peers.size + 1), countedAt: now }
    }
    return this.cachedHeardShare.share
  }

  /** Number of VMs that may be running, this one included; an assumed size if no other VM is known. */
  get count (): number {
    return this.peers.size === 0 ? assumedFleetSize : this.peers.size + 1
  }

  /** Whether this VM has been up long enough to have learned of the others. */
  get isSettled (): boolean {
    return this.clock.monotonic() - this.startedAt >= settledAfterMilliseconds
  }

  /**
   * One more than the known VMs of a region; in this VM's region, the one more is
   * this VM. At least an assumed size until the table is settled, and after that
   * if no VM of the region is known.
   */
  countIn (region: RegionId): number {
    const knownCount = region === this.self.region ? this.neighbourCount : [...this.peers.values()].filter(({ identity }) => identity.region === region).length
    return knownCount > 0 && this.isSettled ? knownCount + 1 : Math.max(knownCount + 1, assumedRegionSize)
  }

  /** Whether this incarnation announced that it leaves; false for a later one at the same address. */
  private hasDeparted ({ linkAddress, incarnation }: PeerIdentity): boolean {
    return this.departures.get(linkAddress)?.identity.incarnation === incarnation
  }

  private add (peer: Peer): void {
    this.peers.set(peer.identity.linkAddress, peer)
    if (peer.identity.region === this.self.region) this.cachedNeighbourCount += 1
  }

  private delete (linkAddress: string): void {
    const peer = this.peers.get(linkAddress)
    if (peer === undefined) return
    this.peers.delete(linkAddress)
    if (peer.identity.region === this.self.region) this.cachedNeighbourCount -= 1
  }

  private nextSerial (): number {
    this.lastSerial += 1
    this.lastAddedAt = this.clock.monotonic()
    return this.lastSerial
  }

  /** Time at which a VM was last heard, itself or in a report that named it. */
  private heardAt ({ identity: { region, failureDomain, linkAddress }, heardAt }: Peer): number {
    const report = region === this.self.region ? this.domains.get(failureDomain) : this.regions.get(region)
    return report?.members.has(linkAddress) === true ? Math.max(heardAt, report.heardAt) : heardAt
  }

  private isSilentPeer ({ identity: { region, failureDomain, linkAddress }, heardAt }: Peer): boolean {
    const now = this.clock.monotonic()
    if (region !== this.self.region) {
      const report = this.regions.get(region)
      return report === undefined || now - report.heardAt > regionSilentAfterMilliseconds || !report.members.has(linkAddress)
    }
    if (now - heardAt <= silentAfterMilliseconds) return false
    const report = this.domains.get(failureDomain)
    return report === undefined || now - report.heardAt > domainSilentAfterMilliseconds || !report.members.has(linkAddress)
  }
}
