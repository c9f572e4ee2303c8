/**
 * Detects that the process was paused, by a gap between two ticks on either the
 * monotonic or the wall clock: one of them may stop while a VM is suspended.
 */

import type { Clock } from '@cuminvale/common'

export class PauseDetector {
  private monotonicAt: number
  private wallAt: number

  constructor (private readonly clock: Clock, private readonly gapMilliseconds: number) {
    this.monotonicAt = clock.monotonic()
    this.wallAt = clock.wall()
  }

  /** Milliseconds since the last call if that is longer than the threshold, otherwise 0. */
  check (): number {
    const monotonic = this.clock.monotonic()
    const wall = this.clock.wall()
    const gap = Math.max(monotonic - this.monotonicAt, wall - this.wallAt)
    this.monotonicAt = monotonic
    this.wallAt = wall
    return gap > this.gapMilliseconds ? gap : 0
  }
}
