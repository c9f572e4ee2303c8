/**
 * A team's rate across all VMs without shared state. Each VM keeps a bucket
 * for the whole fleet, from which it takes its own spending and what the
 * others report: VMs of the same region one by one, those of another region
 * as the sum that its speakers report. The bucket fills only with the part of
 * the rate that belongs to VMs heard lately: an unheard VM may be spending its
 * part, so that two sides that can't talk never use more than the whole
 * between them.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import type { Clock, IncarnationId, TeamId, VmId } from '@cuminvale/common'
import type { ServedTeam } from './types.js'

export interface SpendingReport {
  readonly vm: VmId
  readonly incarnation: IncarnationId
  /** Everything spent since the incarnation began, by team. */
  readonly spent: ReadonlyMap<TeamId, number>
  /** Whether all teams are named, and not only those whose sum has changed since the last report. */
  readonly isFull: boolean
}

export interface SharedRateOptions {
  readonly clock: Clock
  /** Share of the fleet that was heard lately, this VM included; 0 to 1. */
  readonly heardShare: () => number
}

interface Bucket {
  level: number
  updatedAt: number
  rate: number
  capacity: number
  spent: number
}

/** What was last reported, by the VM that did. */
type Reports = Map<VmId, { readonly incarnation: IncarnationId, readonly spent: Map<TeamId, number> }>

export class SharedRate {
  private readonly buckets = new Map<TeamId, Bucket>()
  private readonly reported: Reports = new Map()
  private readonly regionReported: Reports = new Map()
  private readonly neighboursSpent = new Map<TeamId, number>()

  constructor (private readonly options: SharedRateOptions) {}

  /** Spends, unless the team's bucket is empty. */
  spend (team: ServedTeam, amount: number): boolean {
    if (team.ratePerSecond <= 0) return true
    const bucket = this.bucketOf(team)
    if (bucket.level <= 0) return false
    bucket.level -= amount
    bucket.spent += amount
    return true
  }

  /** Returns what was charged for a request that never ran. */
  giveBack (team: ServedTeam, amount: number): void {
    const bucket = this.buckets.get(team.id)
    if (bucket === undefined) return
    bucket.level = Math.min(bucket.capacity, bucket.level + amount)
    bucket.spent -= amount
  }

  /** Milliseconds until the team's bucket holds anything again. */
  millisecondsUntilFilled (team: ServedTeam): number {
    const bucket = this.bucketOf(team)
    const rate = bucket.rate * this.options.heardShare()
    return rate <= 0 ? Infinity : Math.max(0, -bucket.level / rate * millisecondsPerSecond)
  }

  /** Everything this VM has spent, for the other VMs. */
  spending (): ReadonlyMap<TeamId, number> {
    return new Map([...this.buckets].map(([team, { spent }]) => [team, spent]))
  }

  /** Everything that this VM and, since it knows them, the other VMs of its region have spent. */
  regionSpending (): ReadonlyMap<TeamId, number> {
    const sums = new Map(this.neighboursSpent)
    for (const [team, { spent }] of this.buckets) sums.set(team, (sums.get(team) ?? 0) + spent)
    return sums
  }

  /** Takes over what a VM of this region reports. */
  heard (report: SpendingReport): void {
    for (const [team, amount] of increments(this.reported, report)) {
      this.neighboursSpent.set(team, (this.neighboursSpent.get(team) ?? 0) + amount)
      this.deduct(team, amount)
    }
  }

  /** Takes over the sum of another region. Of two speakers that report the same spending, one is counted. */
  heardRegion (report: SpendingReport, isCounted: boolean): void {
    const fresh = increments(this.regionReported, report)
    if (!isCounted) return
    for (const [team, amount] of fresh) this.deduct(team, amount)
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
      // A VM that starts can't know what was spent before: it begins with its part of a second's refill.
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

/**
 * What was spent since the last report. What was spent before the first one is
 * in no bucket of this VM either, so that only a full one can be the first.
 */
const increments = (reports: Reports, { vm, incarnation, spent, isFull }: SpendingReport): ReadonlyArray<readonly [TeamId, number]> => {
  const known = reports.get(vm)
  if (known === undefined || known.incarnation !== incarnation) {
    if (!isFull) return []
    reports.set(vm, { incarnation, spent: new Map(spent) })
    return known === undefined ? [] : [...spent]
  }
  const fresh: Array<readonly [TeamId, number]> = []
  for (const [team, amount] of spent) {
    const before = known.spent.get(team) ?? 0
    if (amount === before) continue
    known.spent.set(team, amount)
    fresh.push([team, amount - before])
  }
  return fresh
}
