/**
 * What a soak suite is: randomised runs over real decision objects that try
 * to break one promise.
 */

export const FaultKind = {
  Loss: 'loss',
  Reorder: 'reorder',
  Partition: 'partition',
  Pause: 'pause',
  Crash: 'crash',
  Restart: 'restart',
  Stale: 'stale-reader',
  ServiceDown: 'service-down',
  ListLag: 'list-lag',
  ClockDrift: 'clock-drift',
  UpstreamCrash: 'upstream-crash',
  SilentConnection: 'silent-connection'
} as const

export type FaultKind = typeof FaultKind[keyof typeof FaultKind]

/** Counts of one run, filled in by the suite. */
export class SoakTally {
  operations = 0
  readonly faults = new Map<FaultKind, number>()

  operation (): void {
    this.operations += 1
  }

  fault (kind: FaultKind): void {
    this.faults.set(kind, (this.faults.get(kind) ?? 0) + 1)
  }

  add (other: SoakTally): void {
    this.operations += other.operations
    for (const [kind, count] of other.faults) this.faults.set(kind, (this.faults.get(kind) ?? 0) + count)
  }
}

export interface SoakViolation {
  readonly seed: number
  readonly detail: string
  /** The shrunk commands that lead to the violation. */
  readonly trace: string
}

export interface SoakSuite {
  readonly name: string
  /** The promise of the brief that the suite tries to break. */
  readonly promise: string
  /** One batch of randomised runs under a seed; deterministic for the seed. */
  readonly run: (seed: number, tally: SoakTally) => Promise<SoakViolation | undefined>
}
