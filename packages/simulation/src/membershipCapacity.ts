/**
 * Capacity probe of membership: one VM's protocol, driven at three sizes by
 * stub peers that acknowledge and ping it, with every message through the codec.
 */

import { FailureDetectingMembership, RegionTopology } from '@cuminvale/membership'
import { SeededRandom, toIncarnationId } from '@cuminvale/common'
import { MemberState, decodePeerMessage, encodePeerMessage } from '@cuminvale/messages'
import type { ListedVm } from '@cuminvale/common'
import type { MembershipMessage, OutboundMessage, PeerIdentity } from '@cuminvale/messages'
import { bytesOfFrame, capacityRowOf, measureHeap, processorShare } from './capacityTools.js'
import { listingsOf } from './membershipFleet.js'
import { regionSizesFor, target } from './target.js'
import { VirtualClock } from './virtualClock.js'
import type { CapacityProbe, CapacityRow, CapacitySample } from './capacityProbe.js'

const sizes = [37, 111, 222, 370] as const
const seconds = 400
/** Members built at once, so that their heap stands out from the collector's noise. */
const membersHeld = 10
const warmUpSeconds = 20
const millisecondsPerSecond = 1_000
const secondsPerDay = 86_400

const identityOf = (vm: ListedVm): PeerIdentity => ({
  vm: vm.name, region: vm.region, failureDomain: vm.failureDomain, incarnation: toIncarnationId(`${vm.name}-incarnation`)
})

/** One VM among stub peers. */
class MeasuredMember {
  readonly clock = new VirtualClock()
  readonly membership: FailureDetectingMembership
  sentBytes = 0
  sentMessages = 0
  private readonly peers: ReadonlyMap<string, PeerIdentity>
  private sequence = 0

  constructor (listings: readonly ListedVm[]) {
    const self = listings.at(-1) as ListedVm
    this.peers = new Map(listings.map((vm) => [vm.name, identityOf(vm)]))
    this.membership = new FailureDetectingMembership({
      self: identityOf(self), clock: this.clock, random: new SeededRandom(1), topology: new RegionTopology()
    })
    this.membership.adoptList(listings)
    for (const peer of this.peers.values()) this.introduce(peer)
  }

  /** Runs the node for a span, with the changes of members that the target names. */
  run (spanSeconds: number, changesPerSecond: number): void {
    const ticksPerSecond = millisecondsPerSecond / this.membership.tickMilliseconds
    let changesDue = 0
    for (let tick = 0; tick < spanSeconds * ticksPerSecond; tick += 1) {
      this.clock.advance(this.membership.tickMilliseconds)
      this.send(this.membership.tick())
      changesDue += changesPerSecond / ticksPerSecond
      for (; changesDue >= 1; changesDue -= 1) this.change()
      if (tick % ticksPerSecond === 0) this.receivePings()
    }
  }

  private introduce (peer: PeerIdentity): void {
    this.deliver(peer, {
      kind: 'membership.records',
      records: [{
        vm: peer.vm, incarnation: peer.incarnation, generation: 1, version: 0, state: MemberState.Up
      }]
    })
  }

  /** As many VMs ping this one as it pings. */
  private receivePings (): void {
    this.sequence += 1
    const pinged = this.membership.linkTargets.slice(0, this.pingedCount)
    for (const { vm } of pinged) this.deliver(this.peerOf(vm.name), { kind: 'membership.ping', sequence: this.sequence })
  }

  private pingedCount = 0

  /** A suspicion and its refutation: two floods that this VM passes on. */
  private change (): void {
    this.sequence += 1
    const names = [...this.peers.keys()]
    const peer = this.peerOf(names[this.sequence % (names.length - 1)] ?? '')
    const record = { vm: peer.vm, incarnation: peer.incarnation, generation: 1, version: this.sequence, state: MemberState.Suspected }
    this.deliver(peer, { kind: 'membership.records', records: [record] })
    this.deliver(peer, { kind: 'membership.records', records: [{ ...record, version: this.sequence + 1, state: MemberState.Up }] })
    this.sequence += 1
  }

  private send (outbound: readonly OutboundMessage[]): void {
    const pings = outbound.filter(({ message }) => message.kind === 'membership.ping')
    this.pingedCount = Math.max(this.pingedCount, pings.length)
    for (const { to, message } of outbound) {
      const bytes = encodePeerMessage(message)
      this.sentBytes += bytesOfFrame(bytes.length)
      this.sentMessages += 1
      if (message.kind === 'membership.ping') this.deliver(this.peerOf(to), { kind: 'membership.acknowledge', sequence: message.sequence })
    }
  }

  private deliver (from: PeerIdentity, message: MembershipMessage): void {
    const decoded = decodePeerMessage(encodePeerMessage(message))
    if (decoded.isOk) this.send(this.membership.receive(from, decoded.value as MembershipMessage))
  }

  private peerOf (name: string): PeerIdentity {
    return this.peers.get(name) as PeerIdentity
  }
}

const changesPerSecondAt = (vms: number): number =>
  (target.vmFailuresPerDay + target.vmRestartsPerDay) / secondsPerDay * vms / target.vms

const sampleAt = (vms: number): CapacitySample => {
  const listings = listingsOf(regionSizesFor(vms))
  const { bytes, held } = measureHeap(() => Array.from({ length: membersHeld }, () => new MeasuredMember(listings)))
  const member = held[0] as MeasuredMember
  member.run(warmUpSeconds, changesPerSecondAt(vms))
  member.sentBytes = 0
  const processorMicroseconds = processorShare(() => member.run(seconds, changesPerSecondAt(vms)))
  return {
    dimension: 'vms',
    size: vms,
    stateBytes: bytes / membersHeld,
    bytesPerSecond: member.sentBytes / seconds,
    processorMicrosecondsPerSecond: processorMicroseconds / seconds
  }
}

/** The first sample is dropped: it pays for compiling the code. */
const measure = (): CapacityRow => capacityRowOf({
  mechanism: 'membership',
  carriedBy: 'every VM, in the largest region: pings to a bounded set, floods of changes',
  samples: [sizes[0], ...sizes].map(sampleAt).slice(1),
  size: target.vms
})

export const membershipCapacity: CapacityProbe = { mechanism: 'membership', measure }
