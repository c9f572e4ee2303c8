/**
 * The clock of one simulated VM: it may run fast or slow against the others,
 * and its wall clock may be off.
 */

import type { Clock } from '@cuminvale/common'

export interface VmClockOptions {
  readonly base: Clock
  /** 1 for a true clock; 1.001 gains a millisecond a second. */
  readonly rate?: number
  readonly wallOffsetMilliseconds?: number
}

export class VmClock implements Clock {
  constructor (private readonly options: VmClockOptions) {}

  monotonic (): number {
    return this.options.base.monotonic() * (this.options.rate ?? 1)
  }

  wall (): number {
    return this.options.base.wall() + (this.options.wallOffsetMilliseconds ?? 0)
  }
}
