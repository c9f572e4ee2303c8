/**
 * The number of requests, running and waiting, beyond which an upstream declines
 * more. Upstreams don't announce it; it is learned from their declines, and an
 * upstream near it is passed over, since a declined request has used one of the
 * attempts that its route allows.
 */

import type { Clock } from '@cuminvale/common'

/** Time without a decline after which the limit is learned anew: the upstream may take more by then. */
const memoryMilliseconds = 10_000
/** Part of the limit that is left to requests of other VMs that the last report doesn't show yet. */
const reservedShare = 0.35

export class QueueLimit {
  private limit: number | undefined
  private declinedAt = -Infinity

  constructor (private readonly clock: Clock) {}

  /** Records that the upstream declined a request while it had the given number of others. */
  recordDecline (occupancy: number, slots: number): void {
    // One that declines while slots are free does so for another reason than its queue.
    if (occupancy < slots) return
    const now = this.clock.monotonic()
    // A shorter queue within the memory was that of a moment at which connections were short.
    this.limit = this.limit !== undefined && now - this.declinedAt <= memoryMilliseconds ? Math.max(this.limit, occupancy) : occupancy
    this.declinedAt = now
  }

  /** Whether the upstream takes one more beside the given number. */
  allows (occupancy: number, slots: number): boolean {
    if (this.limit === undefined) return true
    if (this.clock.monotonic() - this.declinedAt > memoryMilliseconds) {
      this.limit = undefined
      return true
    }
    return occupancy < Math.max(slots, this.limit * (1 - reservedShare))
  }
}
