/**
 * Compares a team's use of this VM with its use of the whole region, from the
 * sums of spending by team that heartbeats carry. Only ratios of a team's own
 * sums are used, so teams that are charged in tokens and in requests are treated
 * alike.
 */

import type { Clock, TeamId } from '@cuminvale/common'

export interface RegionUsageOptions {
  readonly clock: Clock
  /** Totals spent by team on this VM. */
  readonly ownSpending: () => ReadonlyMap<TeamId, number>
  /** Totals spent by team in the region, this VM included. */
  readonly regionSpending: () => ReadonlyMap<TeamId, number>
}

interface TeamUsage {
  ownTotal: number
  regionTotal: number
  /** Recent increases of the totals, which decay. */
  own: number
  region: number
}

/** Interval of heartbeats; the sums don't change between two of them. */
const sampleIntervalMilliseconds = 200
/** Covers several heartbeats, and forgets the sums of VMs that fall silent within seconds. */
const timeConstantMilliseconds = 1_000
/** Requests at the mean share with which a team's share is averaged; limits the error of shares of few requests. */
const priorRequests = 3
const multipleRange = { minimum: 1 / 8, maximum: 8 } as const

export class RegionUsage {
  private readonly teams = new Map<TeamId, TeamUsage>()
  private meanShare = 1
  private sampledAt = -Infinity

  constructor (private readonly options: RegionUsageOptions) {}

  /**
   * Factor by which a team's demand at this VM understates its part of the
   * demand of the region; above 1 for a team that mostly uses other VMs. 1 if
   * nothing is known of the team, or if no other VM reports.
   */
  multiple (team: TeamId | undefined, charge: number): number {
    this.sample()
    const usage = team === undefined ? undefined : this.teams.get(team)
    if (usage === undefined || usage.region <= 0 || charge <= 0) return 1
    const prior = priorRequests * charge
    const share = (usage.own + prior * this.meanShare) / (usage.region + prior)
    return Math.min(multipleRange.maximum, Math.max(multipleRange.minimum, this.meanShare / share))
  }

  private sample (): void {
    const { clock, ownSpending, regionSpending } = this.options
    const now = clock.monotonic()
    const elapsed = now - this.sampledAt
    if (elapsed < sampleIntervalMilliseconds) return
    const kept = Math.exp(-elapsed / timeConstantMilliseconds)
    this.sampledAt = now
    const own = ownSpending()
    const shares: number[] = []
    for (const [team, regionTotal] of regionSpending()) {
      const ownTotal = own.get(team) ?? 0
      const usage = this.teams.get(team) ?? { ownTotal, regionTotal, own: 0, region: 0 }
      // A refund may lower a total.
      usage.own = usage.own * kept + Math.max(0, ownTotal - usage.ownTotal)
      usage.region = usage.region * kept + Math.max(0, regionTotal - usage.regionTotal)
      Object.assign(usage, { ownTotal, regionTotal })
      this.teams.set(team, usage)
      if (usage.region > 0) shares.push(Math.min(1, usage.own / usage.region))
    }
    const sum = shares.reduce((total, share) => total + share, 0)
    this.meanShare = sum > 0 ? sum / shares.length : 1
  }
}
