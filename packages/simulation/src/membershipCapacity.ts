/**
 * Capacity probe of membership. One VM runs the protocol at several fleet sizes
 * against stub peers that acknowledge its pings and ping it. Every message is
 * encoded and decoded, so that the cost of the codec is included.
 */

import { FailureDetectingMembership, RegionTopology } from '@cuminvale/membership'
import { SeededRandom, toIncarnationId } from '@cuminvale/common'
import { MemberState, decodePeerMessage, encodePeerMessage } from '@cuminvale/messages'
import type { ListedVm } from '@cuminvale/common'
import type { MembershipMessage, OutboundMessage, PeerIdentity } from '@cuminvale/messages'
import { bytesOnWire, extrapolateCapacityRow, measureHeap, measureProcessorMicroseconds } from './capacityTools.js'
import { listingsOf } from './membershipFleet.js'
import { regionSizesFor, target } from './target.js'
import { VirtualClock } from './virtualClock.js'
import type { CapacityProbe, CapacityRow, CapacitySample } from './capacityProbe.js'

const vmCounts = [37, 111, 222, 370] as const
const measuredSeconds = 400
/** Number of members built together, so that their heap exceeds the variation between garbage collections. */
const membersBuilt = 10
const warmUpSeconds = 20
const millisecondsPerSecond = 1_000
const secondsPerDay = 86_400

const identityOf = (vm: ListedVm): PeerIdentity => ({
  vm: vm.name, region: vm.region, failureDomain: vm.failureDomain, incarnation: toIncarnationId(`${vm.name}-incarnation`)
})

/** One VM that runs the membership protocol against stub peers. */
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
    for (const peer of this.peers.values()) this.announceUp(peer)
  }

  /** Runs the protocol for a time span, with membership changes at the given rate. */
  run (spanSeconds: number, changesPerSecond: number): void {
    const ticksPerSecond = millisecondsPerSecond / this.membership.tickMilliseconds
    let changesDue = 0
    for (let tick = 0; tick < spanSeconds * ticksPerSecond; tick += 1) {
      this.clock.advance(this.membership.tickMilliseconds)
      this.send(this.membership.tick())
      changesDue += changesPerSecond / ticksPerSecond
      for (; changesDue >= 1; changesDue -= 1) this.deliverSuspicionAndRefutation()
      if (tick % ticksPerSecond === 0) this.receivePings()
    }
  }

  private announceUp (peer: PeerIdentity): void {
    this.deliver(peer, {
      kind: 'membership.records',
      records: [{
        vm: peer.vm, incarnation: peer.incarnation, generation: 1, version: 0, state: MemberState.Up
      }]
    })
  }

  /** Simulates incoming pings, as many as this VM sends at most in a tick. */
  private receivePings (): void {
    this.sequence += 1
    const pingingPeers = this.membership.linkTargets.slice(0, this.largestPingCount)
    for (const { vm } of pingingPeers) this.deliver(this.peerOf(vm.name), { kind: 'membership.ping', sequence: this.sequence })
  }

  private largestPingCount = 0

  /** Delivers a suspicion and its refutation, both of which this VM forwards to its peers. */
  private deliverSuspicionAndRefutation (): void {
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
    this.largestPingCount = Math.max(this.largestPingCount, pings.length)
    for (const { to, message } of outbound) {
      const bytes = encodePeerMessage(message)
      this.sentBytes += bytesOnWire(bytes.length)
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
  const { bytes, held } = measureHeap(() => Array.from({ length: membersBuilt }, () => new MeasuredMember(listings)))
  const member = held[0] as MeasuredMember
  member.run(warmUpSeconds, changesPerSecondAt(vms))
  member.sentBytes = 0
  const processorMicroseconds = measureProcessorMicroseconds(() => member.run(measuredSeconds, changesPerSecondAt(vms)))
  return {
    dimension: 'vms',
    size: vms,
    stateBytes: bytes / membersBuilt,
    bytesPerSecond: member.sentBytes / measuredSeconds,
    processorMicrosecondsPerSecond: processorMicroseconds / measuredSeconds
  }
}

/** The first sample is discarded because it includes the time of just-in-time compilation. */
const measure = (): CapacityRow => extrapolateCapacityRow({
  mechanism: 'membership',
  carriedBy: 'every VM, in the largest region: pings to a bounded set, floods of changes',
  samples: [vmCounts[0], ...vmCounts].map(sampleAt).slice(1),
  size: target.vms
})

export const membershipCapacity: CapacityProbe = { mechanism: 'membership', measure }
