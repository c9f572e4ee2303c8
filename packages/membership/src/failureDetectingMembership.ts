/**
 * Membership from the VM list combined with failure detection. Each VM pings a
 * bounded set of others and suspects those of its region that stop
 * acknowledging. Suspicions are flooded over every link. A running VM that a
 * suspicion reaches over any path refutes it by raising its version; otherwise
 * the VM is considered stopped. VMs of other regions are never suspected: a
 * region that none of its watchers can reach is unreachable as a whole.
 */

import { pickOne } from '@cuminvale/common'
import { MemberState } from '@cuminvale/messages'
import type { Clock, IncarnationId, ListedVm, Random, RegionId, VmId } from '@cuminvale/common'
import type { MemberRecord, MembershipMessage, OutboundMessage, PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import {
  digestIntervalMilliseconds, firstContactTimeoutMilliseconds, membershipTickMilliseconds, pauseGapMilliseconds, regionReportIntervalMilliseconds
} from './constants.js'
import { DirectReachability } from './directReachability.js'
import { PauseDetector } from './pauseDetector.js'
import { RecordTable } from './recordTable.js'
import { RegionReports } from './regionReports.js'
import type { Member, Membership, TopologyPlan, Topology } from './types.js'

export interface FailureDetectingMembershipOptions {
  readonly self: PeerIdentity
  readonly clock: Clock
  readonly random: Random
  readonly topology: Topology
  /** Called when a pause of the process is detected, with its length. */
  readonly onResume?: (awayMilliseconds: number) => void
}

const emptyPlan: TopologyPlan = {
  linkTargets: new Set(), regionPingTargets: new Set(), remotePingTargets: new Map(), watchersByRegion: new Map()
}

export class FailureDetectingMembership implements Membership, PeerProtocol<MembershipMessage> {
  readonly tickMilliseconds = membershipTickMilliseconds
  private readonly recordTable: RecordTable
  private readonly reachability: DirectReachability
  private readonly reports: RegionReports
  private readonly pauseDetector: PauseDetector
  private readonly pendingSynchronizations = new Set<VmId>()
  private listedVms = new Map<VmId, ListedVm>()
  private listedAt: ReadonlyMap<VmId, number> = new Map()
  private plan = emptyPlan
  private plannedStoppedVmsKey = ''
  private hasReceivedList = false
  private nextDigestAt = 0
  private nextReportAt = 0
  private reportedUnreachable: readonly RegionId[] = []
  private cachedMembers: readonly Member[] | undefined
  private cachedLinkTargets: readonly Member[] | undefined

  constructor (private readonly options: FailureDetectingMembershipOptions) {
    this.recordTable = new RecordTable(options.self, options.clock)
    this.reachability = new DirectReachability(options.clock)
    this.reports = new RegionReports(options.clock)
    this.pauseDetector = new PauseDetector(options.clock, pauseGapMilliseconds)
  }

  get hasList (): boolean {
    return this.hasReceivedList
  }

  get isReplaced (): boolean {
    return this.recordTable.isReplaced
  }

  get members (): readonly Member[] {
    this.cachedMembers ??= [...this.listedVms.values()].map((vm) => this.memberOf(vm))
    return this.cachedMembers
  }

  get linkTargets (): readonly Member[] {
    this.cachedLinkTargets ??= this.members.filter(({ vm }) => this.plan.linkTargets.has(vm.name))
    return this.cachedLinkTargets
  }

  adoptList (vms: readonly ListedVm[]): void {
    const isSame = this.hasReceivedList && isSameList(vms.filter(({ name }) => name !== this.options.self.vm), this.listedVms)
    this.hasReceivedList = true
    if (isSame) return
    this.listedVms = new Map(vms.filter((vm) => vm.name !== this.options.self.vm).map((vm) => [vm.name, vm]))
    const now = this.options.clock.monotonic()
    this.listedAt = new Map([...this.listedVms.keys()].map((vm) => [vm, this.listedAt.get(vm) ?? now]))
    this.recordTable.retain((vm) => this.listedVms.has(vm))
    this.reports.retain((vm) => this.listedVms.has(vm))
    this.replan()
  }

  onLinkUp (vm: VmId, _incarnation: IncarnationId): void {
    this.reachability.onLinkUp(vm)
    this.pendingSynchronizations.add(vm)
    this.invalidateCaches()
  }

  onLinkDown (vm: VmId): void {
    if (!this.plan.linkTargets.has(vm)) return
    this.reachability.onLinkDown(vm)
    this.invalidateCaches()
  }

  find (vm: VmId): Member | undefined {
    const listed = this.listedVms.get(vm)
    return listed === undefined ? undefined : this.memberOf(listed)
  }

  membersOfRegion (region: RegionId): readonly Member[] {
    return this.members.filter((member) => member.vm.region === region)
  }

  receive (from: PeerIdentity, message: MembershipMessage): readonly OutboundMessage[] {
    if (message.kind === 'membership.ping') {
      return [{ to: from.vm, message: { kind: 'membership.acknowledge', sequence: message.sequence } }, ...this.promptCorrection(from)]
    }
    if (message.kind === 'membership.acknowledge') {
      this.reachability.acknowledge(from.vm, message.sequence)
      return this.promptCorrection(from)
    }
    this.invalidateCaches()
    if (message.kind === 'membership.records') return this.floodRecords(this.applyRecords(message.records), from.vm)
    if (message.kind === 'membership.digest') return this.answerDigest(from.vm, message.buckets, message.wantsReply)
    this.reports.report(from.vm, message.unreachable)
    return []
  }

  tick (): readonly OutboundMessage[] {
    this.invalidateCaches()
    const awayMilliseconds = this.pauseDetector.check()
    if (awayMilliseconds > 0) this.resumeAfterPause(awayMilliseconds)
    if (this.stoppedVmsKey() !== this.plannedStoppedVmsKey) this.replan()
    return [
      ...this.synchronizeNewLinks(), ...this.pingDueTargets(), ...this.suspectUnreachable(),
      ...this.reportUnreachableRegions(), ...this.compareDigests()
    ]
  }

  /** Recomputes the plan. Needed also when a VM stops or starts, since other VMs take over what a stopped VM watched. */
  private replan (): void {
    const ownEntry = listEntryOf(this.options.self)
    this.plannedStoppedVmsKey = this.stoppedVmsKey()
    this.plan = this.options.topology.plan(ownEntry, [...this.listedVms.values(), ownEntry], (vm) => this.isPresumedRunning(vm))
    const remote = [...this.plan.remotePingTargets.values()].flat()
    this.reachability.setTargets(new Set([...this.plan.regionPingTargets, ...remote]), this.plan.linkTargets)
    this.invalidateCaches()
  }

  /** A newly listed VM without a record counts as running, so that the plans of all VMs agree from the start. */
  private isPresumedRunning (vm: VmId): boolean {
    if (this.recordTable.find(vm) !== undefined) return this.recordTable.isPresumedUp(vm)
    return this.options.clock.monotonic() - (this.listedAt.get(vm) ?? 0) < firstContactTimeoutMilliseconds
  }

  private stoppedVmsKey (): string {
    return [...this.listedVms.keys()].filter((vm) => !this.isPresumedRunning(vm)).join()
  }

  private resumeAfterPause (awayMilliseconds: number): void {
    this.reachability.resumeAfterPause()
    this.recordTable.resumeAfterPause()
    this.options.onResume?.(awayMilliseconds)
  }

  /** Sends this VM's record to peers whose link came up, and compares digests with them to exchange the other records. */
  private synchronizeNewLinks (): readonly OutboundMessage[] {
    const vms = [...this.pendingSynchronizations]
    this.pendingSynchronizations.clear()
    return vms.flatMap((vm) => this.synchronizationWith(vm))
  }

  private synchronizationWith (to: VmId): readonly OutboundMessage[] {
    return [
      { to, message: { kind: 'membership.records', records: [this.recordTable.own] } },
      { to, message: { kind: 'membership.digest', buckets: this.bucketDigests(), wantsReply: true } },
      ...this.reportedUnreachable.length === 0 ? [] : this.regionReportsTo([to])
    ]
  }

  private pingDueTargets (): readonly OutboundMessage[] {
    return this.reachability.takeDuePings().map(({ vm, sequence }) => ({ to: vm, message: { kind: 'membership.ping', sequence } }))
  }

  private suspectUnreachable (): readonly OutboundMessage[] {
    const suspected = [...this.plan.regionPingTargets].filter((vm) => this.recordTable.find(vm) !== undefined && this.reachability.takeDueSuspicion(vm))
    const records = suspected.flatMap((vm) => this.recordTable.suspect(vm) ?? [])
    return this.floodRecords(records)
  }

  /** Tells the linked VMs of this region in which other regions this VM can reach none of its ping targets. */
  private reportUnreachableRegions (): readonly OutboundMessage[] {
    const unreachable = [...this.plan.remotePingTargets].filter(([, targets]) => this.areAllUnreachable(targets)).map(([region]) => region)
    const now = this.options.clock.monotonic()
    this.reports.report(this.options.self.vm, unreachable)
    const isChanged = unreachable.join() !== this.reportedUnreachable.join()
    if (!isChanged && (now < this.nextReportAt || unreachable.length === 0)) return []
    this.nextReportAt = now + regionReportIntervalMilliseconds
    this.reportedUnreachable = unreachable
    const { region } = this.options.self
    return this.regionReportsTo([...this.plan.linkTargets].filter((vm) => this.listedVms.get(vm)?.region === region))
  }

  private regionReportsTo (vms: readonly VmId[]): readonly OutboundMessage[] {
    return vms.map((to) => ({ to, message: { kind: 'membership.regions', unreachable: this.reportedUnreachable } }))
  }

  /** Whether all running targets are unreachable. Stopped ones are no evidence that their region is cut off. */
  private areAllUnreachable (targets: readonly VmId[]): boolean {
    const running = targets.filter((vm) => this.isPresumedRunning(vm))
    return running.length > 0 && running.every((vm) => this.reachability.isUnreachable(vm))
  }

  /** Recovers records that a flood did not deliver, by comparing digests with one random linked VM at a time. */
  private compareDigests (): readonly OutboundMessage[] {
    const now = this.options.clock.monotonic()
    if (now < this.nextDigestAt) return []
    this.nextDigestAt = now + digestIntervalMilliseconds * (1 + this.options.random.next())
    const peer = pickOne([...this.plan.linkTargets], this.options.random)
    if (peer === undefined) return []
    return [{ to: peer, message: { kind: 'membership.digest', buckets: this.bucketDigests(), wantsReply: true } }]
  }

  private answerDigest (to: VmId, buckets: readonly number[], wantsReply: boolean): readonly OutboundMessage[] {
    const own = this.bucketDigests()
    if (own.every((digest, index) => digest === buckets[index])) return []
    const records = this.recordTable.differingRecords(this.knownVms(), own, buckets)
    const reply: OutboundMessage = { to, message: { kind: 'membership.digest', buckets: own, wantsReply: false } }
    return [
      ...records.length === 0 ? [] : [{ to, message: { kind: 'membership.records' as const, records } }],
      ...wantsReply ? [reply] : []
    ]
  }

  private applyRecords (records: readonly MemberRecord[]): readonly MemberRecord[] {
    return records.flatMap((record) => this.recordTable.apply(record) ?? [])
  }

  /** Floods records over every link but the one they came from; a change of this VM's own record goes back there too. */
  private floodRecords (records: readonly MemberRecord[], from?: VmId): readonly OutboundMessage[] {
    if (records.length === 0) return []
    const isOwn = records.some(({ vm }) => vm === this.options.self.vm)
    return [...this.plan.linkTargets]
      .filter((to) => isOwn || to !== from)
      .map((to) => ({ to, message: { kind: 'membership.records', records } }))
  }

  /**
   * Sends a peer its own record if that is suspected or of another incarnation, so that the peer can refute or replace it.
   * A peer whose incarnation is unknown is synchronized with as well.
   */
  private promptCorrection (from: PeerIdentity): readonly OutboundMessage[] {
    const record = this.recordTable.find(from.vm)
    if (record === undefined || record.incarnation !== from.incarnation) {
      return this.synchronizationWith(from.vm).concat(
        record === undefined ? [] : [{ to: from.vm, message: { kind: 'membership.records', records: [record] } }])
    }
    if (record.state === MemberState.Up) return []
    return [{ to: from.vm, message: { kind: 'membership.records', records: [record] } }]
  }

  private bucketDigests (): readonly number[] {
    return this.recordTable.bucketDigests(this.knownVms())
  }

  private knownVms (): readonly VmId[] {
    return [this.options.self.vm, ...this.listedVms.keys()]
  }

  private memberOf (vm: ListedVm): Member {
    const incarnation = this.recordTable.find(vm.name)?.incarnation
    const reachable = this.isDirectlyReachable(vm.name) && this.isRegionReachable(vm.region)
    return { vm, reachable, ...(incarnation === undefined ? {} : { incarnation }) }
  }

  private isRegionReachable (region: RegionId): boolean {
    if (region === this.options.self.region) return true
    const watchers = this.plan.watchersByRegion.get(region) ?? []
    // Without a reachable watcher there is no report: any reachable VM of another region then counts as evidence.
    const reachable = watchers.filter((vm) => vm === this.options.self.vm || this.isDirectlyReachable(vm))
    return reachable.length > 0 ? this.reports.isReachable(region, reachable) : this.reachesOtherRegions()
  }

  private isDirectlyReachable (vm: VmId): boolean {
    return this.recordTable.isPresumedUp(vm) && !this.reachability.isUnreachable(vm)
  }

  private reachesOtherRegions (): boolean {
    return [...this.plan.remotePingTargets.values()].flat().some((vm) => this.isDirectlyReachable(vm))
  }

  private invalidateCaches (): void {
    this.cachedMembers = undefined
    this.cachedLinkTargets = undefined
  }
}

/** This VM's entry for the plan, which must contain it even while the list does not. */
const listEntryOf = (self: PeerIdentity): ListedVm => ({
  name: self.vm,
  region: self.region,
  failureDomain: self.failureDomain,
  host: '',
  callerPort: 0,
  peerPort: 0,
  administrationPort: 0,
  state: 'live'
})

const isSameList = (vms: readonly ListedVm[], held: ReadonlyMap<VmId, ListedVm>): boolean =>
  vms.length === held.size && vms.every((vm) => isSameVm(vm, held.get(vm.name)))

const isSameVm = (first: ListedVm, second: ListedVm | undefined): boolean =>
  second !== undefined && first.region === second.region && first.failureDomain === second.failureDomain &&
  first.host === second.host && first.state === second.state && first.callerPort === second.callerPort &&
  first.peerPort === second.peerPort && first.administrationPort === second.administrationPort
