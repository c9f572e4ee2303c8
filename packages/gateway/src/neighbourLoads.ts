/**
 * Loads that other VMs of the region reported, summed by upstream. A hub reports
 * the sum of its failure domain.
 */

import type { FailureDomainId, UpstreamId, VmId } from '@cuminvale/common'
import type { InFlightLoad, UpstreamTable } from '@cuminvale/serving'

export type LoadReporter = VmId | FailureDomainId

export class NeighbourLoads {
  private readonly reported = new Map<LoadReporter, ReadonlyMap<UpstreamId, InFlightLoad>>()

  constructor (private readonly upstreams: UpstreamTable) {}

  /** Sets the loads that a VM of the region reported, or a hub as the sum of a failure domain without this VM. */
  set (reporter: LoadReporter, loads: ReadonlyMap<UpstreamId, InFlightLoad>): void {
    const previousLoads = this.reported.get(reporter)
    this.reported.set(reporter, loads)
    for (const upstream of loads.keys()) this.update(upstream)
    for (const upstream of previousLoads?.keys() ?? []) {
      if (!loads.has(upstream)) this.update(upstream)
    }
  }

  remove (reporter: LoadReporter): void {
    const previousLoads = this.reported.get(reporter)
    if (previousLoads === undefined) return
    this.reported.delete(reporter)
    for (const upstream of previousLoads.keys()) this.update(upstream)
  }

  /** Removes the loads of reporters that are not heard any more. */
  removeUnheard (isHeard: (reporter: LoadReporter) => boolean): void {
    for (const reporter of [...this.reported.keys()]) {
      if (!isHeard(reporter)) this.remove(reporter)
    }
  }

  private update (upstream: UpstreamId): void {
    const upstreamState = this.upstreams.find(upstream)
    if (upstreamState === undefined) return
    let inFlight = 0
    let pendingTokens = 0
    for (const loads of this.reported.values()) {
      const load = loads.get(upstream)
      inFlight += load?.inFlight ?? 0
      pendingTokens += load?.pendingTokens ?? 0
    }
    upstreamState.neighbourLoad = { inFlight, pendingTokens }
  }
}
