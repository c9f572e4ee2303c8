/**
 * A clock that moves only when a test advances it, for time-dependent code.
 */

import type { Clock } from './clock.js'

export class ManualClock implements Clock {
  constructor (public now = 1_000) {}

  monotonic (): number {
    return this.now
  }

  wall (): number {
    return this.now
  }

  advance (milliseconds: number): void {
    this.now += milliseconds
  }
}
