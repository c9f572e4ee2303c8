/**
 * The clock of one simulated VM. It may run faster or slower than the clocks of
 * other VMs, and its wall clock may have an offset.
 */

import type { Clock } from '@cuminvale/common'

export interface VmClockOptions {
  readonly base: Clock
  /** 1 for an exact clock; 1.001 gains one millisecond per second. */
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
