/**
 * The reports that this VM sent recently. A hub's sums include them, and this VM
 * already counts its own work exactly, so they are subtracted from the sums.
 */

import type { IncarnationId, TeamId, UpstreamId, VmId } from '@cuminvale/common'
import type { InFlightLoad } from './upstreamState.js'

export interface SentReport {
  readonly loads: ReadonlyMap<UpstreamId, InFlightLoad>
  /** Total spent by team, of all teams. */
  readonly spent: ReadonlyMap<TeamId, number>
}

/** Sums of a hub, as far as this VM may be part of them. */
export interface HubSums {
  readonly hub: VmId
  readonly incarnation: IncarnationId
  readonly loads: ReadonlyMap<UpstreamId, InFlightLoad>
  readonly spent: ReadonlyMap<TeamId, number>
  /** Sequence of this VM's last report that the sums include; undefined if they include none. */
  readonly includedSequence: number | undefined
}

interface Inclusion {
  readonly incarnation: IncarnationId
  /** This VM's totals when the hub first included it; the hub doesn't count what was spent before. */
  readonly baseline: ReadonlyMap<TeamId, number>
  /** This VM's totals in the hub's last sums. */
  included: ReadonlyMap<TeamId, number>
}

/** Covers several seconds of reports; a hub acknowledges within one. */
const maximumReportCount = 32

export class OwnReports {
  private readonly reports = new Map<number, SentReport>()
  private readonly inclusions = new Map<VmId, Inclusion>()

  record (sequence: number, report: SentReport): void {
    this.reports.set(sequence, report)
    for (const oldest of this.reports.keys()) {
      if (this.reports.size <= maximumReportCount) return
      this.reports.delete(oldest)
    }
  }

  /** The sums without this VM's part. */
  subtractFrom ({ hub, incarnation, loads, spent, includedSequence }: HubSums): SentReport {
    const own = includedSequence === undefined ? undefined : this.reports.get(includedSequence)
    return { loads: this.subtractLoads(loads, own), spent: this.subtractSpending(hub, incarnation, spent, own) }
  }

  private subtractLoads (loads: HubSums['loads'], own: SentReport | undefined): SentReport['loads'] {
    if (own === undefined || own.loads.size === 0) return loads
    const others = new Map(loads)
    for (const [upstream, { inFlight, pendingTokens }] of own.loads) {
      const sum = others.get(upstream)
      if (sum === undefined) continue
      others.set(upstream, { inFlight: Math.max(0, sum.inFlight - inFlight), pendingTokens: Math.max(0, sum.pendingTokens - pendingTokens) })
    }
    return others
  }

  private subtractSpending (hub: VmId, incarnation: IncarnationId, spent: HubSums['spent'], own: SentReport | undefined): SentReport['spent'] {
    let inclusion = this.inclusions.get(hub)
    if (inclusion?.incarnation !== incarnation) {
      inclusion = own === undefined ? undefined : { incarnation, baseline: own.spent, included: own.spent }
      if (inclusion === undefined) this.inclusions.delete(hub)
      else this.inclusions.set(hub, inclusion)
    }
    if (inclusion === undefined) return spent
    // Sums keep what a silent VM spent, so its part is subtracted as last included.
    if (own !== undefined) inclusion.included = own.spent
    const others = new Map(spent)
    for (const [team, amount] of inclusion.included) {
      const sum = others.get(team)
      if (sum !== undefined) others.set(team, sum - amount + (inclusion.baseline.get(team) ?? 0))
    }
    return others
  }
}
