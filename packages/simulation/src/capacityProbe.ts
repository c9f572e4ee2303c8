/**
 * Types of the probes that `npm run capacity` runs. Each probe measures the
 * cost of a mechanism at three or more sizes and extrapolates it linearly to
 * the target's size.
 */

import type { LinearFit } from './linearFit.js'

export interface CapacitySample {
  /** Unit of `size`, for example "teams" or "vms". */
  readonly dimension: string
  readonly size: number
  readonly stateBytes: number
  readonly bytesPerSecond: number
  readonly processorMicrosecondsPerSecond: number
}

/** Linear fits of the samples, from which a row is extrapolated. */
export interface CapacityFits {
  readonly stateBytes: LinearFit
  readonly bytesPerSecond: LinearFit
  readonly processorMicrosecondsPerSecond: LinearFit
}

export interface CapacityRow {
  readonly mechanism: string
  readonly perNodeCorePercent: number
  readonly perNodeMegabytes: number
  readonly perNodeKilobytesPerSecond: number
  /** Role of the nodes that bear this cost, and the work that causes it. */
  readonly carriedBy: string
  readonly samples: readonly CapacitySample[]
  readonly fits?: CapacityFits
}

export interface CapacityProbe {
  readonly mechanism: string
  readonly measure: () => CapacityRow
}
