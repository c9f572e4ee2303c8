/**
 * Notices that the process was paused, by a gap between its ticks on either
 * clock: a suspended VM may stop one of the two.
 */

import type { Clock } from '@cuminvale/common'

export class PauseDetector {
  private monotonicAt: number
  private wallAt: number

  constructor (private readonly clock: Clock, private readonly gapMilliseconds: number) {
    this.monotonicAt = clock.monotonic()
    this.wallAt = clock.wall()
  }

  /** Milliseconds away since the last call, or 0 where the gap is an ordinary one. */
  check (): number {
    const monotonic = this.clock.monotonic()
    const wall = this.clock.wall()
    const gap = Math.max(monotonic - this.monotonicAt, wall - this.wallAt)
    this.monotonicAt = monotonic
    this.wallAt = wall
    return gap > this.gapMilliseconds ? gap : 0
  }
}
