/**
 * A sum of recent amounts that decays exponentially with a time constant. It
 * estimates what was added since the last of a series of regular reports,
 * without keeping a list.
 */

import type { Clock } from '@cuminvale/common'

export class DecayingSum {
  private sum = 0
  private addedAt = 0

  constructor (private readonly clock: Clock) {}

  add (amount: number, timeConstantMilliseconds: number): void {
    this.sum = this.value(timeConstantMilliseconds) + amount
    this.addedAt = this.clock.monotonic()
  }

  value (timeConstantMilliseconds: number): number {
    return this.sum === 0 ? 0 : this.sum * Math.exp((this.addedAt - this.clock.monotonic()) / timeConstantMilliseconds)
  }
}
