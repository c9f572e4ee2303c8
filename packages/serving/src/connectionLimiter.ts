/**
 * Bounds the new connections that are accepted while the processor is overloaded.
 * Reading requests only to refuse them takes time away from those that are
 * served, so connections beyond the bound are refused before they are read. The
 * bound is a rate that follows what is started: it decreases while the queue of
 * requests that were read doesn't drain, and increases while it does.
 */

import type { Clock } from '@cuminvale/common'

export interface IntakeCounts {
  /** Requests that were read completely. */
  readonly read: number
  /** Requests that were started. */
  readonly started: number
  /** Whether the queue of requests that were read doesn't drain by itself. */
  readonly isStanding: boolean
  /** Longest turn of the event loop, as a part of its budget. */
  readonly longestTurn: number
}

/** Requests read for each one that is started. Some excess is read, so that rank and age decide who is served. */
const wantedReadsPerStart = 1.1
/** Bound of the decrease in one interval; few requests are counted in one. */
const maximumDecrease = 0.7
/** Increases by the longest turn: over its budget, within it, and within half of it. Faster increases made the rate oscillate, since answers follow starts after several turns. */
const increases = { overBudget: 1.01, withinBudget: 1.04, withinHalf: 1.25 } as const
/** Lower bound of the rate, as a part of the estimated capacity. */
const minimumRateShare = 0.1
/** Weight of earlier intervals in the counts. */
const keptWeight = 0.6

export class ConnectionLimiter {
  private ratePerMillisecond: number | undefined
  private tokens = 0
  private burst = 0
  private refilledAt = 0
  private read = 0
  private started = 0

  constructor (private readonly clock: Clock) {}

  get isActive (): boolean {
    return this.ratePerMillisecond !== undefined
  }

  /** Begins to bound connections, by an estimate of the capacity. So many may come at once as are served within the burst's time. */
  activate (capacityPerMillisecond: number, burstMilliseconds: number): void {
    this.ratePerMillisecond = capacityPerMillisecond
    this.burst = capacityPerMillisecond * burstMilliseconds
    this.tokens = this.burst
    this.refilledAt = this.clock.monotonic()
  }

  /** Whether the next new connection is to be refused. */
  refusesNext (): boolean {
    if (!this.isActive) return false
    this.refill()
    if (this.tokens < 1) return true
    this.tokens -= 1
    return false
  }

  /** Adapts the rate to the requests of one interval. With mayEnd, the bound ends once fewer connections come than it allows. */
  endInterval ({ read, started, isStanding, longestTurn }: IntakeCounts, capacityPerMillisecond: number, mayEnd: boolean): void {
    this.read = this.read * keptWeight + read
    this.started = this.started * keptWeight + started
    if (this.ratePerMillisecond === undefined) return
    this.refill()
    if (mayEnd && !isStanding && this.tokens >= this.burst) {
      this.ratePerMillisecond = undefined
      return
    }
    const startedPerWanted = this.read === 0 ? 1 : this.started * wantedReadsPerStart / this.read
    if (startedPerWanted < 1) {
      if (isStanding) this.ratePerMillisecond = Math.max(capacityPerMillisecond * minimumRateShare, this.ratePerMillisecond * Math.max(maximumDecrease, startedPerWanted))
    } else {
      this.ratePerMillisecond *= longestTurn > 1 ? increases.overBudget : longestTurn > 0.5 ? increases.withinBudget : increases.withinHalf
    }
  }

  private refill (): void {
    const now = this.clock.monotonic()
    this.tokens = Math.min(this.burst, this.tokens + (now - this.refilledAt) * (this.ratePerMillisecond ?? 0))
    this.refilledAt = now
  }
}
