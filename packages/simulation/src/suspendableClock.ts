/**
 * The clock of a simulated VM that can be suspended: its monotonic time stands
 * still meanwhile, and its wall clock does not.
 */

import type { Clock } from '@cuminvale/common'

export class SuspendableClock implements Clock {
  private suspendedAt: number | undefined
  private lost: number

  constructor (private readonly base: Clock) {
    this.lost = base.monotonic()
  }

  monotonic (): number {
    return (this.suspendedAt ?? this.base.monotonic()) - this.lost
  }

  wall (): number {
    return this.base.wall()
  }

  suspend (): void {
    this.suspendedAt ??= this.base.monotonic()
  }

  resume (): void {
    if (this.suspendedAt === undefined) return
    this.lost += this.base.monotonic() - this.suspendedAt
    this.suspendedAt = undefined
  }
}
