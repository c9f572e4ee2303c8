/**
 * Baseline placement: every engine keeps the models that its upstream entry
 * lists, whatever the demand.
 */

import type { UpstreamId } from '@cuminvale/common'
import type { Configuration } from '@cuminvale/documents'
import type { EngineReport, PlacementOrder, PlacementPlanner } from './types.js'

export class StaticPlanner implements PlacementPlanner {
  constructor (private readonly configuration: () => Configuration | undefined) {}

  plan (reports: readonly EngineReport[]): readonly PlacementOrder[] {
    return reports.flatMap((report) => this.orderFor(report))
  }

  private orderFor (report: EngineReport): readonly PlacementOrder[] {
    const wanted = this.wantedModels(report.upstream)
    const isMissing = wanted.some((model) => !report.loaded.includes(model))
    return isMissing ? [{ upstream: report.upstream, wanted, fence: report.fence + 1 }] : []
  }

  private wantedModels (upstream: UpstreamId) {
    return this.configuration()?.upstreams.get(upstream)?.models ?? []
  }
}
