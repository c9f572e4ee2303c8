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
import type { MemberRecord, MembershipMessage, Outbound, PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import {
  digestIntervalMilliseconds, firstContactMilliseconds, membershipTickMilliseconds, pauseGapMilliseconds, regionReportIntervalMilliseconds
} from './constants.js'
import { DirectContacts } from './directContacts.js'
import { PauseDetector } from './pauseDetector.js'
import { RecordTable } from './recordTable.js'
import { RegionReports } from './regionReports.js'
import type { Member, Membership, WatchPlan, WatchScope } from './types.js'

export interface DetectingMembershipOptions {
  readonly self: PeerIdentity
  readonly clock: Clock
  readonly random: Random
  readonly scope: WatchScope
  /** Called when a pause of the process is detected, with its length. */
  readonly onWake?: (awayMilliseconds: number) => void
}

const emptyPlan: WatchPlan = {
  linked: new Set(), regionTargets: new Set(), remoteTargets: new Map(), watchersOf: new Map()
}

export class DetectingMembership implements Membership, PeerProtocol<MembershipMessage> {
  readonly tickMilliseconds = membershipTickMilliseconds
  private readonly table: RecordTable
  private readonly contacts: DirectContacts
  private readonly reports: RegionReports
  private readonly pauses: PauseDetector
  private readonly greetings = new Set<VmId>()
  private listed = new Map<VmId, ListedVm>()
  private listedAt: ReadonlyMap<VmId, number> = new Map()
  private plan = emptyPlan
  private plannedWithout = ''
  private listSeen = false
  private digestAt = 0
  private reportAt = 0
  private reported: readonly RegionId[] = []
  private cachedMembers: readonly Member[] | undefined
  private cachedLinked: readonly Member[] | undefined

  constructor (private readonly options: DetectingMembershipOptions) {
    this.table = new RecordTable(options.self, options.clock)
    this.contacts = new DirectContacts(options.clock)
    this.reports = new RegionReports(options.clock)
    this.pauses = new PauseDetector(options.clock, pauseGapMilliseconds)
  }

  get hasList (): boolean {
    return this.listSeen
  }

  get isReplaced (): boolean {
    return this.table.isReplaced
  }

  get members (): readonly Member[] {
    this.cachedMembers ??= [...this.listed.values()].map((vm) => this.memberOf(vm))
    return this.cachedMembers
  }

  get linked (): readonly Member[] {
    this.cachedLinked ??= this.members.filter(({ vm }) => this.plan.linked.has(vm.name))
    return this.cachedLinked
  }

  adoptList (vms: readonly ListedVm[]): void {
    const isSame = this.listSeen && isSameList(vms.filter(({ name }) => name !== this.options.self.vm), this.listed)
    this.listSeen = true
    if (isSame) return
    this.listed = new Map(vms.filter((vm) => vm.name !== this.options.self.vm).map((vm) => [vm.name, vm]))
    const now = this.options.clock.monotonic()
    this.listedAt = new Map([...this.listed.keys()].map((vm) => [vm, this.listedAt.get(vm) ?? now]))
    this.table.retain((vm) => this.listed.has(vm))
    this.reports.retain((vm) => this.listed.has(vm))
    this.replan()
  }

  heard (vm: VmId, _incarnation: IncarnationId): void {
    this.contacts.linkUp(vm)
    this.greetings.add(vm)
    this.forgetView()
  }

  lost (vm: VmId): void {
    if (!this.plan.linked.has(vm)) return
    this.contacts.linkDown(vm)
    this.forgetView()
  }

  find (vm: VmId): Member | undefined {
    const listed = this.listed.get(vm)
    return listed === undefined ? undefined : this.memberOf(listed)
  }

  inRegion (region: RegionId): readonly Member[] {
    return this.members.filter((member) => member.vm.region === region)
  }

  receive (from: PeerIdentity, message: MembershipMessage): readonly Outbound[] {
    if (message.kind === 'membership.ping') {
      return [{ to: from.vm, message: { kind: 'membership.acknowledge', sequence: message.sequence } }, ...this.tellOf(from)]
    }
    if (message.kind === 'membership.acknowledge') {
      this.contacts.acknowledge(from.vm, message.sequence)
      return this.tellOf(from)
    }
    this.forgetView()
    if (message.kind === 'membership.records') return this.spread(this.applyAll(message.records), from.vm)
    if (message.kind === 'membership.digest') return this.answerDigest(from.vm, message.buckets, message.wantsReply)
    this.reports.report(from.vm, message.unreachable)
    return []
  }

  tick (): readonly Outbound[] {
    this.forgetView()
    const away = this.pauses.check()
    if (away > 0) this.wake(away)
    if (this.stoppedNames() !== this.plannedWithout) this.replan()
    return [...this.greet(), ...this.ping(), ...this.suspectSilent(), ...this.reportRegions(), ...this.compareDigests()]
  }

  /** Recomputes the plan. Needed also when a VM stops or starts, since other VMs take over what a stopped VM watched. */
  private replan (): void {
    const own = listingOf(this.options.self)
    this.plannedWithout = this.stoppedNames()
    this.plan = this.options.scope.plan(own, [...this.listed.values(), own], (vm) => this.isHeldRunning(vm))
    const remote = [...this.plan.remoteTargets.values()].flat()
    this.contacts.adopt(new Set([...this.plan.regionTargets, ...remote]), this.plan.linked)
    this.forgetView()
  }

  /** A newly listed VM without a record counts as running, so that the plans of all VMs agree from the start. */
  private isHeldRunning (vm: VmId): boolean {
    if (this.table.find(vm) !== undefined) return this.table.isHeldUp(vm)
    return this.options.clock.monotonic() - (this.listedAt.get(vm) ?? 0) < firstContactMilliseconds
  }

  private stoppedNames (): string {
    return [...this.listed.keys()].filter((vm) => !this.isHeldRunning(vm)).join()
  }

  private wake (awayMilliseconds: number): void {
    this.contacts.wake()
    this.table.wake()
    this.options.onWake?.(awayMilliseconds)
  }

  /** Sends this VM's record to peers whose link came up, and compares digests with them to exchange the other records. */
  private greet (): readonly Outbound[] {
    const due = [...this.greetings]
    this.greetings.clear()
    return due.flatMap((vm) => this.greeting(vm))
  }

  private greeting (to: VmId): readonly Outbound[] {
    return [
      { to, message: { kind: 'membership.records', records: [this.table.own] } },
      { to, message: { kind: 'membership.digest', buckets: this.ownDigests(), wantsReply: true } },
      ...this.reported.length === 0 ? [] : this.reportTo([to])
    ]
  }

  private ping (): readonly Outbound[] {
    return this.contacts.duePings().map(({ vm, sequence }) => ({ to: vm, message: { kind: 'membership.ping', sequence } }))
  }

  private suspectSilent (): readonly Outbound[] {
    const raised = [...this.plan.regionTargets].filter((vm) => this.table.find(vm) !== undefined && this.contacts.takeSuspicion(vm))
    const records = raised.flatMap((vm) => this.table.suspect(vm) ?? [])
    return this.spread(records)
  }

  /** Tells the linked VMs of this region in which other regions this VM can reach none of its ping targets. */
  private reportRegions (): readonly Outbound[] {
    const unreachable = [...this.plan.remoteTargets].filter(([, targets]) => this.isSilent(targets)).map(([region]) => region)
    const now = this.options.clock.monotonic()
    this.reports.report(this.options.self.vm, unreachable)
    const isChanged = unreachable.join() !== this.reported.join()
    if (!isChanged && (now < this.reportAt || unreachable.length === 0)) return []
    this.reportAt = now + regionReportIntervalMilliseconds
    this.reported = unreachable
    const { region } = this.options.self
    return this.reportTo([...this.plan.linked].filter((vm) => this.listed.get(vm)?.region === region))
  }

  private reportTo (vms: readonly VmId[]): readonly Outbound[] {
    return vms.map((to) => ({ to, message: { kind: 'membership.regions', unreachable: this.reported } }))
  }

  /** Whether all running targets are unreachable. Stopped ones are no evidence that their region is cut off. */
  private isSilent (targets: readonly VmId[]): boolean {
    const running = targets.filter((vm) => this.isHeldRunning(vm))
    return running.length > 0 && running.every((vm) => this.contacts.isBroken(vm))
  }

  /** Recovers records that a flood did not deliver, by comparing digests with one random linked VM at a time. */
  private compareDigests (): readonly Outbound[] {
    const now = this.options.clock.monotonic()
    if (now < this.digestAt) return []
    this.digestAt = now + digestIntervalMilliseconds * (1 + this.options.random.next())
    const peer = pickOne([...this.plan.linked], this.options.random)
    if (peer === undefined) return []
    return [{ to: peer, message: { kind: 'membership.digest', buckets: this.ownDigests(), wantsReply: true } }]
  }

  private answerDigest (to: VmId, buckets: readonly number[], wantsReply: boolean): readonly Outbound[] {
    const own = this.ownDigests()
    if (own.every((digest, index) => digest === buckets[index])) return []
    const records = this.table.differing(this.knownNames(), own, buckets)
    const reply: Outbound = { to, message: { kind: 'membership.digest', buckets: own, wantsReply: false } }
    return [
      ...records.length === 0 ? [] : [{ to, message: { kind: 'membership.records' as const, records } }],
      ...wantsReply ? [reply] : []
    ]
  }

  private applyAll (records: readonly MemberRecord[]): readonly MemberRecord[] {
    return records.flatMap((record) => this.table.apply(record) ?? [])
  }

  /** Floods records over every link but the one they came from; a change of this VM's own record goes back there too. */
  private spread (records: readonly MemberRecord[], from?: VmId): readonly Outbound[] {
    if (records.length === 0) return []
    const isOwn = records.some(({ vm }) => vm === this.options.self.vm)
    return [...this.plan.linked]
      .filter((to) => isOwn || to !== from)
      .map((to) => ({ to, message: { kind: 'membership.records', records } }))
  }

  /** Sends a peer its own record if that is suspected or of another incarnation, so that the peer can refute or replace it. */
  private tellOf (from: PeerIdentity): readonly Outbound[] {
    const record = this.table.find(from.vm)
    if (record === undefined || record.incarnation !== from.incarnation) {
      return this.greeting(from.vm).concat(
        record === undefined ? [] : [{ to: from.vm, message: { kind: 'membership.records', records: [record] } }])
    }
    if (record.state === MemberState.Up) return []
    return [{ to: from.vm, message: { kind: 'membership.records', records: [record] } }]
  }

  private ownDigests (): readonly number[] {
    return this.table.digests(this.knownNames())
  }

  private knownNames (): readonly VmId[] {
    return [this.options.self.vm, ...this.listed.keys()]
  }

  private memberOf (vm: ListedVm): Member {
    const incarnation = this.table.find(vm.name)?.incarnation
    const reachable = this.isHeardDirectly(vm.name) && this.isRegionReachable(vm.region)
    return { vm, reachable, ...(incarnation === undefined ? {} : { incarnation }) }
  }

  private isRegionReachable (region: RegionId): boolean {
    if (region === this.options.self.region) return true
    const watchers = this.plan.watchersOf.get(region) ?? []
    // Without a reachable watcher there is no report: any reachable VM of another region then counts as evidence.
    const heard = watchers.filter((vm) => vm === this.options.self.vm || this.isHeardDirectly(vm))
    return heard.length > 0 ? this.reports.isReachable(region, heard) : this.hearsOtherRegions()
  }

  private isHeardDirectly (vm: VmId): boolean {
    return this.table.isHeldUp(vm) && !this.contacts.isBroken(vm)
  }

  private hearsOtherRegions (): boolean {
    return [...this.plan.remoteTargets.values()].flat().some((vm) => this.isHeardDirectly(vm))
  }

  private forgetView (): void {
    this.cachedMembers = undefined
    this.cachedLinked = undefined
  }
}

/** This VM's entry for the plan, which must contain it even while the list does not. */
const listingOf = (self: PeerIdentity): ListedVm => ({
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
