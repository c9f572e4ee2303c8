/**
 * The other VMs, as they tell each other: nobody publishes a list. VMs of the
 * same region hear each other directly; those of another region are known
 * from the reports of its speakers. A VM is used only while it is heard in
 * one of these ways. One that falls silent stays counted, since it may be cut
 * off and still serving; one that said that it leaves is forgotten, as is one
 * that nobody has heard for a long time.
 */

import type { Clock, FailureDomainId, IncarnationId, RegionId, VmId } from '@cuminvale/common'

export interface PeerIdentity {
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** Host and port of its links to other VMs. */
  readonly linkAddress: string
  /** Host and port where callers connect; empty where it takes none. */
  readonly callerAddress: string
}

/** A VM as a speaker of its region reports it. */
export interface RegionMember {
  readonly identity: PeerIdentity
  readonly isReady: boolean
}

interface Peer {
  identity: PeerIdentity
  heardAt: number
  toldAt: number
  isReady: boolean
  /** Grows with each VM that becomes known, so that others can be told of what is new. */
  serial: number
}

interface Region {
  heardAt: number
  members: ReadonlySet<string>
}

/** Six heartbeats within a region. */
const silentAfterMilliseconds = 1_300
/** VMs of a region beyond which heartbeats are rarer than every 400 ms, and silence takes longer to tell. */
const manyNeighbours = 16
/** Three heartbeats of the largest regions. */
const silentAmongManyMilliseconds = 2_600
/** The same for a region, whose reports take one more step to arrive. */
const regionSilentAfterMilliseconds = 1_500
/** Far longer than the partitions that the users describe. */
const forgottenAfterMilliseconds = 120_000
/** What others still say of a VM that left; gossip ends far sooner. */
const departureMilliseconds = 60_000
/** Time in which a departure is passed on to other regions. */
const departureToldMilliseconds = 5_000
/** Fleet size that a VM assumes before it has heard of any other one. */
const assumedFleetSize = 16

/** VMs of one region that a VM assumes until it has heard of them. */
const assumedRegionSize = 8
/** A VM has been told of the others by then, over links that take two round trips between regions. */
const settledAfterMilliseconds = 3_000

interface Departure {
  readonly identity: PeerIdentity
  readonly at: number
}

export class PeerTable {
  private readonly peers = new Map<string, Peer>()
  private readonly regions = new Map<RegionId, Region>()
  private readonly departures = new Map<string, Departure>()
  private readonly startedAt: number
  private lastSerial = 0
  private neighboursKnown = 0

  constructor (private readonly clock: Clock, private readonly self: PeerIdentity) {
    this.startedAt = clock.monotonic()
  }

  /** Known VMs of the own region, heard or not; kept, since each placement asks. */
  get neighbourCount (): number {
    return this.neighboursKnown
  }

  /** Notes a message that came from a VM of the same region itself. */
  heard (identity: PeerIdentity, isReady: boolean): void {
    if (identity.linkAddress === this.self.linkAddress || this.hasDeparted(identity)) return
    const now = this.clock.monotonic()
    const held = this.peers.get(identity.linkAddress)
    const serial = held?.identity.incarnation === identity.incarnation ? held.serial : this.nextSerial()
    this.peers.set(identity.linkAddress, { identity, heardAt: now, toldAt: now, isReady, serial })
    if (held === undefined) this.countNeighbours()
  }

  /** Notes that a VM has introduced itself; whether it is ready is as it last said. */
  introduced (identity: PeerIdentity): void {
    if (identity.region !== this.self.region) {
      this.told(identity)
      return
    }
    const held = this.peers.get(identity.linkAddress)
    this.heard(identity, held?.identity.incarnation === identity.incarnation && held.isReady)
  }

  /** Notes a VM that another one named; true where it was unknown. */
  told (identity: PeerIdentity): boolean {
    const { linkAddress } = identity
    if (linkAddress === this.self.linkAddress || this.peers.has(linkAddress) || this.hasDeparted(identity)) return false
    this.peers.set(linkAddress, { identity, heardAt: -Infinity, toldAt: this.clock.monotonic(), isReady: false, serial: this.nextSerial() })
    this.countNeighbours()
    return true
  }

  /**
   * Notes a report of a speaker: its region is in touch. Without a list, the
   * VMs of the last one still are.
   */
  heardRegion (region: RegionId, members: readonly RegionMember[] | undefined): void {
    if (region === this.self.region) return
    const now = this.clock.monotonic()
    const held = this.regions.get(region)
    if (members === undefined) {
      if (held !== undefined) held.heardAt = now
      return
    }
    for (const { identity, isReady } of members) {
      if (this.hasDeparted(identity)) continue
      const { linkAddress, incarnation } = identity
      const known = this.peers.get(linkAddress)
      const isSame = known?.identity.incarnation === incarnation
      this.peers.set(linkAddress, {
        identity: isSame ? known.identity : identity, heardAt: now, toldAt: now, isReady, serial: isSame ? known.serial : this.nextSerial()
      })
    }
    this.regions.set(region, { heardAt: now, members: new Set(members.map(({ identity }) => identity.linkAddress)) })
  }

  /** Forgets a VM that said that it stops; it spends nothing from then on. */
  left (identity: PeerIdentity): void {
    const held = this.peers.get(identity.linkAddress)
    if (held !== undefined && held.identity.incarnation !== identity.incarnation) return
    this.peers.delete(identity.linkAddress)
    this.countNeighbours()
    this.departures.set(identity.linkAddress, { identity, at: this.clock.monotonic() })
  }

  forgetOld (): void {
    const now = this.clock.monotonic()
    for (const [address, { heardAt, toldAt }] of this.peers) {
      if (Math.max(heardAt, toldAt) < now - forgottenAfterMilliseconds) this.peers.delete(address)
    }
    this.countNeighbours()
    for (const [address, { at }] of this.departures) {
      if (at < now - departureMilliseconds) this.departures.delete(address)
    }
  }

  /** VMs of the own region that left a moment ago, for other regions. */
  get departedLately (): readonly PeerIdentity[] {
    const oldest = this.clock.monotonic() - departureToldMilliseconds
    return [...this.departures.values()].filter(({ identity, at }) => at >= oldest && identity.region === this.self.region).map(({ identity }) => identity)
  }

  /** Whether nothing was heard of it lately. */
  isSilent (linkAddress: string): boolean {
    const peer = this.peers.get(linkAddress)
    return peer === undefined || this.isSilentPeer(peer)
  }

  /** Every VM that may be running. */
  get known (): readonly PeerIdentity[] {
    return [...this.peers.values()].map(({ identity }) => identity)
  }

  /** VMs that became known after a serial, and the newest serial. */
  knownSince (serial: number): { readonly identities: readonly PeerIdentity[], readonly serial: number } {
    const fresh = serial === this.lastSerial ? [] : [...this.peers.values()].filter((peer) => peer.serial > serial)
    return { identities: fresh.map(({ identity }) => identity), serial: this.lastSerial }
  }

  /** VMs that are heard; those that refuse new work are left out on request. */
  heardPeers (options: { readonly readyOnly: boolean }): readonly PeerIdentity[] {
    return [...this.peers.values()]
      .filter((peer) => !this.isSilentPeer(peer) && (peer.isReady || !options.readyOnly))
      .map(({ identity }) => identity)
  }

  /** VMs of the own region that are heard, and whether they take new work. */
  get neighbours (): readonly RegionMember[] {
    return [...this.peers.values()]
      .filter((peer) => peer.identity.region === this.self.region && !this.isSilentPeer(peer))
      .map(({ identity, isReady }) => ({ identity, isReady }))
  }

  /** The other regions that are heard, with their VMs. */
  get heardRegions (): ReadonlyArray<{ readonly region: RegionId, readonly members: readonly RegionMember[] }> {
    const now = this.clock.monotonic()
    return [...this.regions].filter(([, { heardAt }]) => now - heardAt <= regionSilentAfterMilliseconds).map(([region, { members }]) => ({
      region,
      members: [...members].map((address) => this.peers.get(address)).filter((peer) => peer !== undefined).map(({ identity, isReady }) => ({ identity, isReady }))
    }))
  }

  /** Share of the VMs that may be running that this one hears, itself included. */
  heardShare (): number {
    if (this.peers.size === 0) return 1 / assumedFleetSize
    const heard = [...this.peers.values()].filter((peer) => !this.isSilentPeer(peer)).length
    return (heard + 1) / (this.peers.size + 1)
  }

  /** VMs that may be running, this one included. */
  get count (): number {
    return this.peers.size === 0 ? assumedFleetSize : this.peers.size + 1
  }

  /** Whether this VM has been up long enough to have been told of the others. */
  get isSettled (): boolean {
    return this.clock.monotonic() - this.startedAt >= settledAfterMilliseconds
  }

  /** VMs of a region that may be running, this one included; an assumption while this VM has not heard of them. */
  countIn (region: RegionId): number {
    const known = region === this.self.region ? this.neighbourCount : [...this.peers.values()].filter(({ identity }) => identity.region === region).length
    return known > 0 && this.isSettled ? known + 1 : Math.max(known + 1, assumedRegionSize)
  }

  /** Whether it is the VM that said that it stops, and not a later one with its address. */
  private hasDeparted ({ linkAddress, incarnation }: PeerIdentity): boolean {
    return this.departures.get(linkAddress)?.identity.incarnation === incarnation
  }

  private countNeighbours (): void {
    this.neighboursKnown = [...this.peers.values()].filter(({ identity }) => identity.region === this.self.region).length
  }

  private nextSerial (): number {
    this.lastSerial += 1
    return this.lastSerial
  }

  private isSilentPeer ({ identity: { region, linkAddress }, heardAt }: Peer): boolean {
    const now = this.clock.monotonic()
    if (region === this.self.region) return now - heardAt > (this.neighbourCount > manyNeighbours ? silentAmongManyMilliseconds : silentAfterMilliseconds)
    const report = this.regions.get(region)
    return report === undefined || now - report.heardAt > regionSilentAfterMilliseconds || !report.members.has(linkAddress)
  }
}
