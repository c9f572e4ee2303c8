/**
 * Limits a team's rate across all VMs without shared state. Each VM keeps a
 * bucket for the whole fleet and deducts its own spending and the spending that
 * other VMs report. VMs of the same region report one by one or, in a large
 * region, as the sum that a hub of each failure domain reports; those of another
 * region as the sum that its speakers report. The bucket fills only with the
 * share of the rate that belongs to VMs heard recently, since an unheard VM may
 * be spending its own share. Two partitioned sides together therefore never
 * spend more than the whole rate.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { SpendingReports, addSpending } from './spendingReports.js'
import type { Clock, TeamId } from '@cuminvale/common'
import type { SpendingReport } from './spendingReports.js'
import type { ServedTeam } from './types.js'

export interface TeamRateLimiterOptions {
  readonly clock: Clock
  /** Share of the fleet that was heard recently, this VM included; 0 to 1. */
  readonly heardShare: () => number
}

/** Amounts are in tokens or in requests, depending on ServedTeam.countsTokens. */
interface Bucket {
  level: number
  updatedAt: number
  rate: number
  capacity: number
  spent: number
}

export class TeamRateLimiter {
  private readonly buckets = new Map<TeamId, Bucket>()
  private readonly neighbourReports = new SpendingReports()
  private readonly domainReports = new SpendingReports()
  private readonly regionReports = new SpendingReports()
  private readonly neighbourSpending = new Map<TeamId, number>()

  constructor (private readonly options: TeamRateLimiterOptions) {}

  /**
   * Deducts the amount and returns true, unless the team's bucket is empty; a bucket
   * may go below zero. A team without a limit always gets true and is not counted.
   */
  trySpend (team: ServedTeam, amount: number): boolean {
    if (team.ratePerSecond <= 0) return true
    const bucket = this.bucketOf(team)
    if (bucket.level <= 0) return false
    bucket.level -= amount
    bucket.spent += amount
    return true
  }

  /** Credits the charge of a request that never ran. */
  refund (team: ServedTeam, amount: number): void {
    const bucket = this.buckets.get(team.id)
    if (bucket === undefined) return
    bucket.level = Math.min(bucket.capacity, bucket.level + amount)
    bucket.spent -= amount
  }

  /** Milliseconds until the team's bucket reaches zero; it can be spent from once it is above zero. Only for teams with a limit. */
  millisecondsUntilAvailable (team: ServedTeam): number {
    const bucket = this.bucketOf(team)
    const rate = bucket.rate * this.options.heardShare()
    return rate <= 0 ? Infinity : Math.max(0, -bucket.level / rate * millisecondsPerSecond)
  }

  /** Totals spent on this VM by team, to be reported to the other VMs. */
  spending (): ReadonlyMap<TeamId, number> {
    return new Map([...this.buckets].map(([team, { spent }]) => [team, spent]))
  }

  /** Totals by team of this VM and of the other VMs of its region, the latter since their first report. */
  regionSpending (): ReadonlyMap<TeamId, number> {
    const sums = new Map(this.neighbourSpending)
    for (const [team, { spent }] of this.buckets) sums.set(team, (sums.get(team) ?? 0) + spent)
    return sums
  }

  /** Records a report of a VM of this region. Not counted if the same spending is counted in a hub's sum. */
  recordReport (report: SpendingReport, isCounted = true): void {
    this.countNeighbours(this.neighbourReports.record(report), isCounted)
  }

  /** Records the sum of a failure domain of this region, without this VM's own spending. Of two hubs that report it, only one is counted. */
  recordDomainReport (report: SpendingReport, isCounted: boolean): void {
    this.countNeighbours(this.domainReports.record(report), isCounted)
  }

  /** Records the sum of another region. Of two speakers that report the same spending, only one is counted. */
  recordRegionReport (report: SpendingReport, isCounted: boolean): void {
    const increases = this.regionReports.record(report)
    if (!isCounted) return
    for (const [team, amount] of increases) this.deduct(team, amount)
  }

  private countNeighbours (increases: ReadonlyArray<readonly [TeamId, number]>, isCounted: boolean): void {
    if (!isCounted) return
    addSpending(this.neighbourSpending, increases)
    for (const [team, amount] of increases) this.deduct(team, amount)
  }

  private deduct (team: TeamId, amount: number): void {
    const bucket = this.buckets.get(team)
    if (bucket !== undefined) bucket.level -= amount
  }

  private bucketOf (team: ServedTeam): Bucket {
    const now = this.options.clock.monotonic()
    const share = this.options.heardShare()
    let bucket = this.buckets.get(team.id)
    if (bucket === undefined) {
      // Earlier spending is unknown: a new bucket begins with one second's refill at the share of the VMs that are heard.
      bucket = { level: team.ratePerSecond * share, updatedAt: now, rate: team.ratePerSecond, capacity: 0, spent: 0 }
      this.buckets.set(team.id, bucket)
    }
    bucket.rate = team.ratePerSecond
    bucket.capacity = Math.max(team.burst, team.ratePerSecond)
    const seconds = (now - bucket.updatedAt) / millisecondsPerSecond
    bucket.level = Math.min(bucket.capacity, bucket.level + seconds * bucket.rate * share)
    bucket.updatedAt = now
    return bucket
  }
}
