/**
 * What `npm run capacity` runs: probes that measure a mechanism's slopes at
 * three sizes or more, and work out its cost at the target's size.
 */

import type { LinearFit } from './linearFit.js'

export interface CapacitySample {
  /** What the size counts, for example "teams" or "vms". */
  readonly dimension: string
  readonly size: number
  readonly stateBytes: number
  readonly bytesPerSecond: number
  readonly processorMicrosecondsPerSecond: number
}

/** The lines through the samples, by which a row is worked out. */
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
  /** Which role of a node carries it, and by what. */
  readonly carriedBy: string
  readonly samples: readonly CapacitySample[]
  readonly fits?: CapacityFits
}

export interface CapacityProbe {
  readonly mechanism: string
  readonly measure: () => CapacityRow
}
