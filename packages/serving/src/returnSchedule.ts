/**
 * Hands out times to retry to refused callers, one after another at the rate at
 * which capacity becomes free. A more urgent caller delays the times of less
 * urgent ones that are handed out after it, but not the reverse.
 */

import type { Clock, Random } from '@cuminvale/common'

export interface ReturnRequest {
  /** What the callers wait for; each resource has its own schedule. */
  readonly resource: string
  /** 0 is the most urgent. */
  readonly rank: number
  /** Time between two returns. */
  readonly intervalMilliseconds: number
  /** Time before which no capacity is free. */
  readonly earliestMilliseconds: number
  /** Longest time that is of use to the caller. */
  readonly latestMilliseconds: number
  /** Part of the longest time over which callers without a place in the schedule are spread, so that they don't return together. */
  readonly spreadShare: number
}

export class ReturnSchedule {
  /** By resource and rank: monotonic time from which the next place is free. */
  private readonly nextAt = new Map<string, Map<number, number>>()

  constructor (private readonly options: { readonly clock: Clock, readonly random: Random }) {}

  /** Milliseconds after which the caller should retry. */
  take ({ resource, rank, intervalMilliseconds, earliestMilliseconds, latestMilliseconds, spreadShare }: ReturnRequest): number {
    const now = this.options.clock.monotonic()
    const ranks = this.nextAt.get(resource) ?? new Map<number, number>()
    this.nextAt.set(resource, ranks)
    const next = Math.max(now + earliestMilliseconds, ranks.get(rank) ?? -Infinity)
    if (next - now > latestMilliseconds) return latestMilliseconds * (1 - this.options.random.next() * spreadShare)
    ranks.set(rank, next + intervalMilliseconds)
    for (const [other, at] of ranks) {
      if (other > rank) ranks.set(other, Math.max(at, now + earliestMilliseconds) + intervalMilliseconds)
    }
    return next - now
  }
}
