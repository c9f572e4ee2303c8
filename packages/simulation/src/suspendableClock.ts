/**
 * The clock of a simulated VM that can be suspended. During a suspension its
 * monotonic time stands still, but its wall clock runs on.
 */

import type { Clock } from '@cuminvale/common'

export class SuspendableClock implements Clock {
  private suspendedAt: number | undefined
  /** Base time in milliseconds that is not counted: before the creation of this clock and during suspensions. */
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
