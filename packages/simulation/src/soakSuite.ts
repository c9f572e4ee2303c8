/**
 * A soak suite runs random command sequences against the real decision objects
 * and checks that one guarantee holds.
 */

/** Kinds of injected fault; the values appear in the summary of a soak run. */
export const FaultKind = {
  Loss: 'loss',
  Reorder: 'reorder',
  Partition: 'partition',
  Pause: 'pause',
  Crash: 'crash',
  Restart: 'restart',
  StaleReader: 'stale-reader',
  ServiceDown: 'service-down',
  ListLag: 'list-lag',
  ClockDrift: 'clock-drift',
  UpstreamCrash: 'upstream-crash',
  SilentConnection: 'silent-connection'
} as const

export type FaultKind = typeof FaultKind[keyof typeof FaultKind]

/** Counts of operations and injected faults, filled in by the suite. */
export class SoakTally {
  operations = 0
  readonly faults = new Map<FaultKind, number>()

  /** Counts one operation. */
  operation (): void {
    this.operations += 1
  }

  /** Counts one injected fault. */
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
  /** The shrunk command sequence that leads to the violation. */
  readonly trace: string
}

export interface SoakSuite {
  readonly name: string
  /** The guarantee that the suite tries to break. */
  readonly guarantee: string
  /** Runs one batch of random command sequences; the same seed gives the same batch. */
  readonly run: (seed: number, tally: SoakTally) => Promise<SoakViolation | undefined>
}
