/**
 * Token bucket for the bytes that this VM may send to another region. The VMs
 * of this region divide a share of the link equally; short bursts are allowed.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import type { Clock, RegionId } from '@cuminvale/common'

export interface LinkBudgetOptions {
  readonly clock: Clock
  readonly linkMegabitsPerSecond: number
  /** Share of the link for requests forwarded to the other region; the rest is left to other traffic. */
  readonly share: number
  /** Number of VMs of this region that share the link. */
  readonly vmCount: () => number
}

interface Level {
  bytes: number
  updatedAt: number
}

const bytesPerMegabit = 125_000
const burstMilliseconds = 500

export class LinkBudget {
  private readonly levels = new Map<RegionId, Level>()

  constructor (private readonly options: LinkBudgetOptions) {}

  get bytesPerMillisecond (): number {
    return this.options.linkMegabitsPerSecond * bytesPerMegabit / millisecondsPerSecond
  }

  has (region: RegionId, bytes: number): boolean {
    return this.refilled(region).bytes >= bytes
  }

  take (region: RegionId, bytes: number): void {
    this.refilled(region).bytes -= bytes
  }

  private refilled (region: RegionId): Level {
    const now = this.options.clock.monotonic()
    const rate = this.bytesPerMillisecond * this.options.share / Math.max(1, this.options.vmCount())
    const level = this.levels.get(region) ?? { bytes: rate * burstMilliseconds, updatedAt: now }
    level.bytes = Math.min(rate * burstMilliseconds, level.bytes + (now - level.updatedAt) * rate)
    level.updatedAt = now
    this.levels.set(region, level)
    return level
  }
}
