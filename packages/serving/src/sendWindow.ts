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

  /** Whether one more send stays within the bound. */
  allows (maximumPerSecond: number): boolean {
    this.removeExpired()
    return this.sentAt.length + 1 <= maximumPerSecond
  }

  /** Sends of the last second. */
  get count (): number {
    this.removeExpired()
    return this.sentAt.length
  }

  /** Records a send. */
  sent (): void {
    this.removeExpired()
    this.sentAt.push(this.clock.monotonic())
  }

  private removeExpired (): void {
    const windowStart = this.clock.monotonic() - windowMilliseconds
    while ((this.sentAt[0] ?? Infinity) <= windowStart) this.sentAt.shift()
  }
}
