/**
 * Which models should be loaded on which upstreams.
 */

import type { ModelName, UpstreamId } from '@cuminvale/common'

export interface EngineReport {
  readonly upstream: UpstreamId
  readonly loaded: readonly ModelName[]
  /** Highest fencing number that the engine has reported. */
  readonly fence: number
}

export interface PlacementOrder {
  readonly upstream: UpstreamId
  /** The wanted result, so that a repeated order is harmless. */
  readonly wanted: readonly ModelName[]
  readonly fence: number
}

export interface PlacementPlanner {
  plan (reports: readonly EngineReport[]): readonly PlacementOrder[]
}
