/**
 * The other VMs, as they tell each other: nobody publishes a list. A VM is
 * used only while it is heard directly. A VM that falls silent stays counted,
 * since it may be cut off and still serving; one that said that it leaves is
 * forgotten, as is one that nobody has heard for a long time.
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

interface Peer {
  identity: PeerIdentity
  heardAt: number
  toldAt: number
  isReady: boolean
}

/** Five heartbeats within a region. */
const silentAfterMilliseconds = 1_300
/** Far longer than the partitions that the users describe. */
const forgottenAfterMilliseconds = 120_000
/** Fleet size that a VM assumes before it has heard of any other one. */
const assumedFleetSize = 16

/** VMs of one region that a VM assumes until it has heard of them. */
const assumedRegionSize = 8
/** A VM has been told of the others by then, over links that take two round trips between regions. */
const settledAfterMilliseconds = 3_000

export class PeerTable {
  private readonly peers = new Map<string, Peer>()
  private readonly startedAt: number

  constructor (private readonly clock: Clock, private readonly self: PeerIdentity) {
    this.startedAt = clock.monotonic()
  }

  /** Notes a message that came from the VM itself. */
  heard (identity: PeerIdentity, isReady: boolean): void {
    if (identity.linkAddress === this.self.linkAddress) return
    const now = this.clock.monotonic()
    this.peers.set(identity.linkAddress, { identity, heardAt: now, toldAt: now, isReady })
  }

  /** Notes that a VM has introduced itself; whether it is ready is as it last said. */
  introduced (identity: PeerIdentity): void {
    const held = this.peers.get(identity.linkAddress)
    this.heard(identity, held?.identity.incarnation === identity.incarnation && held.isReady)
  }

  /** Notes a VM that another one named; true where it was unknown. */
  told (identity: PeerIdentity): boolean {
    if (identity.linkAddress === this.self.linkAddress || this.peers.has(identity.linkAddress)) return false
    this.peers.set(identity.linkAddress, { identity, heardAt: -Infinity, toldAt: this.clock.monotonic(), isReady: false })
    return true
  }

  /** Forgets a VM that said that it stops; it spends nothing from then on. */
  left (linkAddress: string): void {
    this.peers.delete(linkAddress)
  }

  forgetOld (): void {
    const oldest = this.clock.monotonic() - forgottenAfterMilliseconds
    for (const [address, { heardAt, toldAt }] of this.peers) {
      if (Math.max(heardAt, toldAt) < oldest) this.peers.delete(address)
    }
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

  /** VMs that are heard; those that refuse new work are left out on request. */
  heardPeers (options: { readonly readyOnly: boolean }): readonly PeerIdentity[] {
    return [...this.peers.values()]
      .filter((peer) => !this.isSilentPeer(peer) && (peer.isReady || !options.readyOnly))
      .map(({ identity }) => identity)
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

  /** VMs of a region that may be running, this one included; an assumption while this VM has not heard of them. */
  countIn (region: RegionId): number {
    const known = [...this.peers.values()].filter(({ identity }) => identity.region === region).length
    const isSettled = known > 0 && this.clock.monotonic() - this.startedAt >= settledAfterMilliseconds
    return isSettled ? known + 1 : Math.max(known + 1, assumedRegionSize)
  }

  private isSilentPeer ({ heardAt }: Peer): boolean {
    return this.clock.monotonic() - heardAt > silentAfterMilliseconds
  }
}
