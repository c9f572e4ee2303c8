/**
 * Counts sends in a sliding window. It enforces a bound that all VMs of a region
 * keep together without communicating: each keeps to its even share.
 */

import type { Clock } from '@cuminvale/common'

/** Longer than the one second that the bound applies to, since sends arrive with different delays. */
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
