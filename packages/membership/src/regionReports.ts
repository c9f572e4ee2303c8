/**
 * Which other regions are reachable, from the reports of the VMs of this region
 * that are linked to them. A report that is not repeated expires.
 */

import type { Clock, RegionId, VmId } from '@cuminvale/common'
import { regionReportLifetimeMilliseconds } from './constants.js'

interface Report {
  readonly unreachable: ReadonlySet<RegionId>
  readonly expiresAt: number
}

export class RegionReports {
  private readonly reports = new Map<VmId, Report>()

  constructor (private readonly clock: Clock) {}

  report (watcher: VmId, unreachable: readonly RegionId[]): void {
    const expiresAt = this.clock.monotonic() + regionReportLifetimeMilliseconds
    this.reports.set(watcher, { unreachable: new Set(unreachable), expiresAt })
  }

  retain (keeps: (vm: VmId) => boolean): void {
    for (const vm of this.reports.keys()) {
      if (!keeps(vm)) this.reports.delete(vm)
    }
  }

  /** A region is unreachable only if all named watchers report so; one without a current report counts as reaching it. */
  isReachable (region: RegionId, watchers: readonly VmId[]): boolean {
    return watchers.some((watcher) => !this.reportsUnreachable(watcher, region))
  }

  private reportsUnreachable (watcher: VmId, region: RegionId): boolean {
    const report = this.reports.get(watcher)
    if (report === undefined || report.expiresAt < this.clock.monotonic()) return false
    return report.unreachable.has(region)
  }
}
