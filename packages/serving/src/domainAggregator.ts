/**
 * What a hub knows of the VMs of its failure domain: it adds up their reports,
 * so that each VM receives one sum and not a report from every other VM.
 */

import { SpendingReports, addSpending } from './spendingReports.js'
import type { Clock, TeamId, UpstreamId, VmId } from '@cuminvale/common'
import type { PeerIdentity, RegionMember } from './peerTable.js'
import type { InFlightLoad } from './upstreamState.js'
import type { PromptPartId } from './types.js'

/** A VM's report of itself. */
export interface VmReport {
  readonly identity: PeerIdentity
  readonly isReady: boolean
  /** Increases with each report of one incarnation. */
  readonly sequence: number
  /** Total spent since the incarnation began, by team. */
  readonly spent: ReadonlyMap<TeamId, number>
  /** Whether `spent` lists all teams, and not only those whose total has changed. */
  readonly isSpentFull: boolean
  readonly loads: ReadonlyMap<UpstreamId, InFlightLoad>
  /** Long prompt parts sent to upstreams since the last report. */
  readonly parts: Iterable<readonly [UpstreamId, Iterable<PromptPartId>]>
}

/** Sums over the VMs of a failure domain. */
export interface DomainTotals {
  readonly members: readonly RegionMember[]
  /** Spending by team since the hub first heard each VM. */
  readonly spent: ReadonlyMap<TeamId, number>
  readonly loads: ReadonlyMap<UpstreamId, InFlightLoad>
}

interface Member {
  readonly report: VmReport
  readonly at: number
}

/** Silence after which a VM is no longer counted: three reports 400 ms apart, plus 100 ms. */
const memberSilentMilliseconds = 1_300
/** Silence after which nothing of a VM is kept. */
const memberRetentionMilliseconds = 10_000

export class DomainAggregator {
  private readonly membersByVm = new Map<VmId, Member>()
  private readonly spendingReports = new SpendingReports()
  private readonly spent = new Map<TeamId, number>()
  private parts = new Map<UpstreamId, Set<PromptPartId>>()

  constructor (private readonly clock: Clock) {}

  record (report: VmReport): void {
    const { vm, incarnation } = report.identity
    this.membersByVm.set(vm, { report, at: this.clock.monotonic() })
    addSpending(this.spent, this.spendingReports.record({ vm, incarnation, spent: report.spent, isComplete: report.isSpentFull }))
    for (const [upstream, ids] of report.parts) {
      const known = this.parts.get(upstream) ?? new Set<PromptPartId>()
      for (const id of ids) known.add(id)
      this.parts.set(upstream, known)
    }
  }

  /** Forgets a VM that announced that it leaves. */
  remove ({ vm, incarnation }: PeerIdentity): void {
    if (this.membersByVm.get(vm)?.report.identity.incarnation === incarnation) this.membersByVm.delete(vm)
  }

  /** Sequence of the VM's last report that the totals include; undefined if they include none. */
  includedSequence (vm: VmId): number | undefined {
    const member = this.membersByVm.get(vm)
    return member === undefined || this.isSilent(member) ? undefined : member.report.sequence
  }

  totals (): DomainTotals {
    const now = this.clock.monotonic()
    const members: RegionMember[] = []
    const loads = new Map<UpstreamId, InFlightLoad>()
    for (const [vm, member] of this.membersByVm) {
      if (now - member.at > memberRetentionMilliseconds) this.membersByVm.delete(vm)
      if (this.isSilent(member)) continue
      const { identity, isReady } = member.report
      members.push({ identity, isReady })
      for (const [upstream, { inFlight, pendingTokens }] of member.report.loads) {
        const sum = loads.get(upstream)
        loads.set(upstream, { inFlight: (sum?.inFlight ?? 0) + inFlight, pendingTokens: (sum?.pendingTokens ?? 0) + pendingTokens })
      }
    }
    return { members, spent: this.spent, loads }
  }

  /** Prompt parts that VMs of the domain sent to upstreams since the last call. */
  takeParts (): ReadonlyMap<UpstreamId, ReadonlySet<PromptPartId>> {
    const { parts } = this
    this.parts = new Map()
    return parts
  }

  private isSilent ({ at }: Member): boolean {
    return this.clock.monotonic() - at > memberSilentMilliseconds
  }
}
