/**
 * Reports within a large region, where VMs report to the hubs of their failure
 * domain. As a hub, this VM adds up what the VMs report and returns the sums to
 * them, with those of the other failure domains. As any VM, it follows one hub
 * for each failure domain, and takes its own part out of the sums.
 */

import { DomainAggregator, OwnReports, ReportFollower, ReportUse, compareByRank } from '@cuminvale/serving'
import { MemberListSchedule, unpackMember } from './memberListSchedule.js'
import { packMessage } from './linkMessages.js'
import { hubStartMilliseconds, hubSuccessionMilliseconds, maximumRelayedReports, ticksBetweenSpareDigests } from './constants.js'
import type { FailureDomainId, TeamId, UpstreamId, VmId } from '@cuminvale/common'
import type { DomainTotals, InFlightLoad, PeerIdentity } from '@cuminvale/serving'
import type { DigestMessage, DomainDigest, HeartbeatMessage, RecordKnowledge, RegionReport } from './linkMessages.js'
import type { GatewayState } from './gatewayState.js'

export interface DomainReportsOptions {
  readonly state: GatewayState
  readonly self: PeerIdentity
}

/** What a hub sends when a digest is due. */
export interface DueDigest {
  /** Packed message for a VM of this failure domain that reports here. */
  readonly forMember: (vm: VmId) => Buffer
  readonly forOtherHubs: Buffer
}

export class DomainReports {
  private readonly aggregator: DomainAggregator
  private readonly ownReports = new OwnReports()
  private readonly follower: ReportFollower
  private readonly memberList: MemberListSchedule
  private readonly capacityByVm = new Map<VmId, number>()
  private readonly startedAt: number
  /** Time of the first report that this VM received as a hub; undefined while no VM reports to it. */
  private hubSince: number | undefined
  private sequence = 0
  private tickCount = 0
  private isFollowed = false
  /** Latest digests of other failure domains to relay, by hub. */
  private digestsToRelay = new Map<VmId, DomainDigest>()
  private reportsToRelay: RegionReport[] = []
  private reportsForOtherHubs: RegionReport[] = []

  constructor (private readonly options: DomainReportsOptions) {
    const { clock } = options.state
    this.startedAt = clock.monotonic()
    this.aggregator = new DomainAggregator(clock)
    this.memberList = new MemberListSchedule(clock)
    this.follower = new ReportFollower({ clock, isPreferred: (first, second) => this.isPreferred(first, second) })
  }

  /** Whether the VMs of a failure domain are known through a hub, so that their own reports are not counted. */
  isFollowing (domain: FailureDomainId): boolean {
    return this.follower.isFollowing(domain)
  }

  /** Whether this VM is the hub that its failure domain follows. */
  get isFollowedHub (): boolean {
    return this.hubSince !== undefined && this.isFollowed
  }

  /** Records a heartbeat that this VM sends, so that its part can be taken out of the hubs' sums. */
  recordOwn (message: HeartbeatMessage): void {
    const { state, self } = this.options
    this.ownReports.record(message.sequence, { loads: state.ownLoads(), spent: state.rateLimiter.spending() })
    this.aggregator.record(toVmReport(self, message))
  }

  /** Records the heartbeat of a VM of this failure domain that reports to this VM as its hub. */
  recordMember (sender: PeerIdentity, message: HeartbeatMessage): void {
    this.hubSince ??= this.options.state.clock.monotonic()
    this.aggregator.record(toVmReport(sender, message))
  }

  /** Forgets a VM that announced that it leaves. */
  remove (identity: PeerIdentity): void {
    this.aggregator.remove(identity)
  }

  /** Queues a report of another region for the VMs that report here. */
  relay (report: RegionReport, { isForOtherHubs }: { readonly isForOtherHubs: boolean }): void {
    if (this.hubSince === undefined) return
    if (this.reportsToRelay.length < maximumRelayedReports) this.reportsToRelay.push(report)
    if (isForOtherHubs && this.reportsForOtherHubs.length < maximumRelayedReports) this.reportsForOtherHubs.push(report)
  }

  /**
   * The digest of this VM as a hub, if one is due. Called every tick. A hub whose
   * failure domain has a preferred hub sends rarely: its digests only show that it
   * could take over.
   */
  tick (knowledge: RecordKnowledge): DueDigest | undefined {
    const { state, self } = this.options
    this.tickCount += 1
    const now = state.clock.monotonic()
    if (this.hubSince === undefined || now - this.startedAt < hubStartMilliseconds) return undefined
    // A hub that has just returned doesn't hear all VMs yet; another one is followed until it does.
    const hasFollowedHub = this.follower.isFollowing(self.failureDomain)
    if (hasFollowedHub && now - this.hubSince < hubSuccessionMilliseconds) return undefined
    if (hasFollowedHub && !this.isFollowed && this.tickCount % ticksBetweenSpareDigests !== 0) return undefined
    const totals = this.aggregator.totals()
    if (totals.members.length <= 1) {
      this.hubSince = undefined
      return undefined
    }
    const own = this.digest(totals)
    this.isFollowed = this.apply(own, this.aggregator.includedSequence(self.vm)) === ReportUse.Followed
    const toMembers: DigestMessage = { kind: 'digest', steadyMilliseconds: now, own, relayed: [...this.digestsToRelay.values()], reports: this.reportsToRelay, ...knowledge }
    const toHubs: DigestMessage = { kind: 'digest', steadyMilliseconds: now, own, relayed: [], reports: this.reportsForOtherHubs, ...knowledge }
    this.digestsToRelay = new Map()
    this.reportsToRelay = []
    this.reportsForOtherHubs = []
    const packed = packMessage(toMembers)
    return {
      forMember: (vm) => {
        const included = this.aggregator.includedSequence(vm)
        return included === undefined ? packed : Buffer.concat([packMessage({ kind: 'acknowledgement', sequence: included }), packed])
      },
      forOtherHubs: packMessage(toHubs)
    }
  }

  /** Applies the digests of a message. The acknowledgement preceded it in its frame. */
  receive (message: DigestMessage, acknowledgedSequence: number | undefined): void {
    this.apply(message.own, acknowledgedSequence)
    for (const digest of message.relayed) this.apply(digest, undefined)
  }

  private apply (digest: DomainDigest, includedSequence: number | undefined): ReportUse {
    const { state, self } = this.options
    const { domain, vm, incarnation, sequence, members, departed } = digest
    this.capacityByVm.set(vm, digest.processorCapacity)
    const use = this.follower.classify({ group: domain, vm, incarnation, sequence })
    if (use === ReportUse.Stale) return use
    const isFollowed = use === ReportUse.Followed
    for (const identity of departed) {
      state.peers.left(identity)
      this.aggregator.remove(identity)
    }
    state.peers.recordDomainReport(domain, isFollowed ? members?.map(unpackMember) : undefined)
    const sums = { loads: toLoads(digest.loads), spent: new Map(digest.spent) }
    const { loads, spent } = domain === self.failureDomain ? this.ownReports.subtractFrom({ hub: vm, incarnation, includedSequence, ...sums }) : sums
    state.rateLimiter.recordDomainReport({ vm, incarnation, spent, isComplete: true }, isFollowed)
    if (vm !== self.vm) {
      for (const [upstream, parts] of digest.parts) state.recordNeighbourParts(upstream, parts)
    }
    if (isFollowed) state.neighbourLoads.set(domain, loads)
    if (isFollowed && domain !== self.failureDomain && this.hubSince !== undefined) this.queueForRelay(digest)
    return use
  }

  /** Keeps the latest digest of a hub, with what the ones before it would have delivered. */
  private queueForRelay (digest: DomainDigest): void {
    const earlier = this.digestsToRelay.get(digest.vm)
    const members = digest.members ?? earlier?.members
    this.digestsToRelay.set(digest.vm, {
      ...digest,
      parts: [...earlier?.parts ?? [], ...digest.parts],
      departed: [...earlier?.departed ?? [], ...digest.departed],
      ...members === undefined ? {} : { members }
    })
  }

  private digest ({ members, spent, loads }: DomainTotals): DomainDigest {
    const { state, self } = this.options
    this.sequence += 1
    return {
      domain: self.failureDomain,
      vm: self.vm,
      incarnation: self.incarnation,
      processorCapacity: self.processorCapacity,
      sequence: this.sequence,
      spent: [...spent],
      loads: packLoads(loads),
      parts: [...this.aggregator.takeParts()].map(([upstream, parts]) => [upstream, [...parts]] as const),
      departed: state.peers.recentDepartures.filter(({ failureDomain }) => failureDomain === self.failureDomain),
      ...this.memberList.next(members, this.tickCount)
    }
  }

  private isPreferred (first: VmId, second: VmId): boolean {
    return compareByRank({ vm: first, processorCapacity: this.capacityByVm.get(first) ?? 0 }, { vm: second, processorCapacity: this.capacityByVm.get(second) ?? 0 }) < 0
  }
}

export const packLoads = (loads: ReadonlyMap<UpstreamId, InFlightLoad>): DomainDigest['loads'] =>
  [...loads].map(([upstream, { inFlight, pendingTokens }]) => [upstream, inFlight, Math.round(pendingTokens)] as const)

export const toLoads = (loads: DomainDigest['loads']): ReadonlyMap<UpstreamId, InFlightLoad> =>
  new Map(loads.map(([upstream, inFlight, pendingTokens]) => [upstream, { inFlight, pendingTokens }]))

const toVmReport = (identity: PeerIdentity, message: HeartbeatMessage): Parameters<DomainAggregator['record']>[0] => ({
  identity,
  isReady: message.isReady,
  sequence: message.sequence,
  spent: new Map<TeamId, number>(message.spent),
  isSpentFull: message.isSpentFull,
  loads: toLoads(message.loads),
  parts: message.parts
})
