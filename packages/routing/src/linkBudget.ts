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

interface Bucket {
  bytes: number
  updatedAt: number
}

const bytesPerMegabit = 125_000
const burstDurationMilliseconds = 500

export class LinkBudget {
  private readonly buckets = new Map<RegionId, Bucket>()

  constructor (private readonly options: LinkBudgetOptions) {}

  get bytesPerMillisecond (): number {
    return this.options.linkMegabitsPerSecond * bytesPerMegabit / millisecondsPerSecond
  }

  canSpend (region: RegionId, bytes: number): boolean {
    return this.refilledBucket(region).bytes >= bytes
  }

  spend (region: RegionId, bytes: number): void {
    this.refilledBucket(region).bytes -= bytes
  }

  private refilledBucket (region: RegionId): Bucket {
    const now = this.options.clock.monotonic()
    const rate = this.bytesPerMillisecond * this.options.share / Math.max(1, this.options.vmCount())
    const bucket = this.buckets.get(region) ?? { bytes: rate * burstDurationMilliseconds, updatedAt: now }
    bucket.bytes = Math.min(rate * burstDurationMilliseconds, bucket.bytes + (now - bucket.updatedAt) * rate)
    bucket.updatedAt = now
    this.buckets.set(region, bucket)
    return bucket
  }
}
