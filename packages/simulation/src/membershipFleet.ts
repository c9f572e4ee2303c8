/**
 * Simulated VMs that run the membership protocol over the faulty network,
 * together with their actual state.
 */

import { FailureDetectingMembership } from '@cuminvale/membership'
import { SeededRandom, toFailureDomainId, toIncarnationId, toRegionId, toVmId } from '@cuminvale/common'
import type { IncarnationId, ListedVm, VmId } from '@cuminvale/common'
import type { Topology } from '@cuminvale/membership'
import type { Mechanism, PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import { FakeLink } from './fakeLink.js'
import { VirtualClock } from './virtualClock.js'
import { VmClock } from './vmClock.js'
import type { FakeVm } from './fakeLink.js'

export interface MembershipVm extends FakeVm {
  readonly membership: FailureDetectingMembership
}

export interface MembershipFleetOptions {
  readonly seed: number
  /** Number of VMs in each region. */
  readonly regionSizes: readonly number[]
  readonly scope: () => Topology
}

interface LinkState {
  lastHeardAt: number
  isUp: boolean
  incarnation: IncarnationId | undefined
}

const linkSilenceMilliseconds = 3_000
const domainsPerRegion = 3
const maximumDriftShare = 0.001
/** Smaller than the time between restarts of a VM, so that generations taken from its wall clock always rise. */
const maximumWallOffsetMilliseconds = 100

export const listingsOf = (regionSizes: readonly number[]): readonly ListedVm[] =>
  regionSizes.flatMap((size, region) => Array.from({ length: size }, (_, index): ListedVm => ({
    name: toVmId(`vm-${region}-${index}`),
    region: toRegionId(`region-${region}`),
    failureDomain: toFailureDomainId(`domain-${region}-${index % domainsPerRegion}`),
    host: '127.0.0.1',
    callerPort: 1,
    peerPort: 2,
    administrationPort: 3,
    state: 'live'
  })))

export class MembershipFleet {
  readonly clock = new VirtualClock()
  readonly random: SeededRandom
  readonly link: FakeLink
  readonly listings: readonly ListedVm[]
  readonly running = new Map<VmId, MembershipVm>()
  private readonly paused = new Set<VmId>()
  private partitionGroups = new Map<VmId, number>()
  private readonly links = new Map<string, LinkState>()
  private startCount = 0

  constructor (private readonly options: MembershipFleetOptions) {
    this.random = new SeededRandom(options.seed)
    this.link = new FakeLink({
      clock: this.clock, random: this.random, localDelayMilliseconds: 1, interRegionDelayMilliseconds: 55
    })
    this.listings = listingsOf(options.regionSizes)
    this.listings.forEach((listing) => this.start(listing))
  }

  /** Starts or restarts a VM. The incarnation contains the number of the start, which rises with every start. */
  start (listing: ListedVm): void {
    this.startCount += 1
    const identity: PeerIdentity = {
      vm: listing.name,
      region: listing.region,
      failureDomain: listing.failureDomain,
      incarnation: toIncarnationId(`${listing.name}#${this.startCount}`)
    }
    const membership = new FailureDetectingMembership({
      self: identity, clock: this.newClock(), random: this.random, topology: this.options.scope()
    })
    membership.adoptList(this.listings)
    const protocols = new Map<Mechanism, PeerProtocol<never>>([['membership', membership as PeerProtocol<never>]])
    const vm: MembershipVm = { identity, membership, protocols }
    this.paused.delete(listing.name)
    this.running.set(listing.name, vm)
    this.link.attach(vm)
  }

  stop (name: VmId): void {
    this.running.delete(name)
    this.paused.delete(name)
    this.link.detach(name)
  }

  pause (name: VmId): void {
    if (!this.running.has(name)) return
    this.paused.add(name)
    this.link.pause(name)
  }

  resume (name: VmId): void {
    this.paused.delete(name)
    this.link.resume(name)
  }

  isAwake (name: VmId): boolean {
    return this.running.has(name) && !this.paused.has(name)
  }

  /** Partitions the network: a VM reaches only the VMs of its own group. */
  partition (groupOf: (listing: ListedVm) => number): void {
    this.link.heal()
    this.partitionGroups = new Map(this.listings.map((listing) => [listing.name, groupOf(listing)]))
    const names = this.listings.map(({ name }) => name)
    names.forEach((first, index) => names.slice(index + 1)
      .filter((second) => !this.isConnected(first, second))
      .forEach((second) => this.link.cut(first, second)))
  }

  heal (): void {
    this.partition(() => 0)
  }

  isConnected (first: VmId, second: VmId): boolean {
    return this.partitionGroups.get(first) === this.partitionGroups.get(second)
  }

  /** Stands in for the link layer: reports links that came up, fell silent or lead to a restarted VM. */
  detectLinkChanges (): void {
    const now = this.clock.monotonic()
    for (const vm of this.running.values()) {
      if (!this.isAwake(vm.identity.vm)) continue
      vm.membership.linkTargets.forEach((member) => this.detectLinkChange(vm, member.vm.name, now))
    }
  }

  private detectLinkChange (vm: MembershipVm, peer: VmId, now: number): void {
    const key = `${vm.identity.incarnation} ${peer}`
    const state = this.links.get(key) ?? { lastHeardAt: now, isUp: false, incarnation: undefined }
    this.links.set(key, state)
    const peerIncarnation = this.running.get(peer)?.identity.incarnation
    const isReachable = this.isAwake(peer) && this.isConnected(vm.identity.vm, peer)
    if (isReachable) state.lastHeardAt = now
    const wasReplaced = state.isUp && peerIncarnation !== undefined && peerIncarnation !== state.incarnation
    if (state.isUp && (wasReplaced || now - state.lastHeardAt > linkSilenceMilliseconds)) {
      state.isUp = false
      vm.membership.onLinkDown(peer)
    }
    if (isReachable && !state.isUp && peerIncarnation !== undefined) {
      Object.assign(state, { isUp: true, incarnation: peerIncarnation })
      vm.membership.onLinkUp(peer, peerIncarnation)
    }
  }

  private newClock (): VmClock {
    return new VmClock({
      base: this.clock,
      rate: 1 + maximumDriftShare * (2 * this.random.next() - 1),
      wallOffsetMilliseconds: maximumWallOffsetMilliseconds * (2 * this.random.next() - 1)
    })
  }
}

/** The start number contained in an incarnation. */
export const startNumberOf = (incarnation: string): number => Number(incarnation.slice(incarnation.indexOf('#') + 1))
