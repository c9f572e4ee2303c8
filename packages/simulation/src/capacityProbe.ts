/**
 * What `npm run capacity` runs: probes that measure a mechanism's slopes at
 * three sizes or more, and work out its cost at the target's size.
 */

export interface CapacitySample {
  /** What the size counts, for example "teams" or "vms". */
  readonly dimension: string
  readonly size: number
  readonly stateBytes: number
  readonly bytesPerSecond: number
  readonly processorMicrosecondsPerSecond: number
}

export interface CapacityRow {
  readonly mechanism: string
  readonly perNodeCorePercent: number
  readonly perNodeMegabytes: number
  readonly perNodeKilobytesPerSecond: number
  /** Which role of a node carries it, and by what. */
  readonly carriedBy: string
  readonly samples: readonly CapacitySample[]
}

export interface CapacityProbe {
  readonly mechanism: string
  readonly measure: () => CapacityRow
}
