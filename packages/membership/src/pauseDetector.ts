/**
 * Detects that the process was paused, by a gap between two ticks on either the
 * monotonic or the wall clock: one of them may stop while a VM is suspended.
 */

import type { Clock } from '@cuminvale/common'

export class PauseDetector {
  private lastMonotonic: number
  private lastWall: number

  constructor (private readonly clock: Clock, private readonly thresholdMilliseconds: number) {
    this.lastMonotonic = clock.monotonic()
    this.lastWall = clock.wall()
  }

  /** Milliseconds since the last call if that is longer than the threshold, otherwise 0. */
  check (): number {
    const monotonic = this.clock.monotonic()
    const wall = this.clock.wall()
    const gap = Math.max(monotonic - this.lastMonotonic, wall - this.lastWall)
    this.lastMonotonic = monotonic
    this.lastWall = wall
    return gap > this.thresholdMilliseconds ? gap : 0
  }
}
