/**
 * Counts sends in a sliding window, for a bound that all VMs of a region keep
 * together without talking: each keeps its even part of it.
 */

import type { Clock } from '@cuminvale/common'

/** Longer than the second that is bound, since sends arrive with different delays. */
const windowMilliseconds = 1_150

export class SendWindow {
  private readonly sentAt: number[] = []

  constructor (private readonly clock: Clock) {}

  allows (mostPerSecond: number): boolean {
    this.forgetOld()
    return this.sentAt.length + 1 <= mostPerSecond
  }

  sent (): void {
    this.forgetOld()
    this.sentAt.push(this.clock.monotonic())
  }

  private forgetOld (): void {
    const oldest = this.clock.monotonic() - windowMilliseconds
    while ((this.sentAt[0] ?? Infinity) <= oldest) this.sentAt.shift()
  }
}
