/**
 * Exchanges loads between VMs. Each VM sends its load to every VM of its region
 * and to one random VM of each other region, so that the number of messages
 * grows with the regions and not with the fleet.
 */

import { pickOne } from '@cuminvale/common'
import type { Clock, Random, RegionId, VmId } from '@cuminvale/common'
import type { EntryMessage, OutboundMessage, PeerIdentity, PeerProtocol } from '@cuminvale/messages'

export interface EntryPeer {
  readonly vm: VmId
  readonly region: RegionId
}

export interface EntryLoadsOptions {
  readonly clock: Clock
  readonly random: Random
  readonly region: RegionId
  readonly peers: () => readonly EntryPeer[]
  readonly ownLoad: () => number
}

interface ReceivedLoad {
  readonly load: number
  readonly at: number
}

const sendIntervalMilliseconds = 1_000
const loadLifetimeMilliseconds = 10_000

export class EntryLoads implements PeerProtocol<EntryMessage> {
  readonly tickMilliseconds = sendIntervalMilliseconds
  private readonly received = new Map<VmId, ReceivedLoad>()

  constructor (private readonly options: EntryLoadsOptions) {}

  /** The load that a VM last sent; undefined if none has arrived within the lifetime of a load. */
  loadOf (vm: VmId): number | undefined {
    const received = this.received.get(vm)
    if (received === undefined || this.options.clock.monotonic() - received.at > loadLifetimeMilliseconds) return undefined
    return received.load
  }

  receive (from: PeerIdentity, message: EntryMessage): readonly OutboundMessage[] {
    this.received.set(from.vm, { load: message.load, at: this.options.clock.monotonic() })
    return []
  }

  tick (): readonly OutboundMessage[] {
    const { peers, region, ownLoad } = this.options
    this.dropExpired()
    const all = peers()
    const local = all.filter((peer) => peer.region === region)
    const remote = this.pickOnePerRegion(all.filter((peer) => peer.region !== region))
    const message: EntryMessage = { kind: 'entries.load', load: ownLoad() }
    return [...local, ...remote].map(({ vm }) => ({ to: vm, message }))
  }

  private pickOnePerRegion (peers: readonly EntryPeer[]): readonly EntryPeer[] {
    const regions = new Map<RegionId, EntryPeer[]>()
    for (const peer of peers) regions.set(peer.region, [...regions.get(peer.region) ?? [], peer])
    return [...regions.values()].flatMap((members) => pickOne(members, this.options.random) ?? [])
  }

  private dropExpired (): void {
    const now = this.options.clock.monotonic()
    for (const [vm, { at }] of this.received) if (now - at > loadLifetimeMilliseconds) this.received.delete(vm)
  }
}
