/**
 * Keeps the last slots of a pool for teams without a lasting backlog, so that
 * a request of a quiet team need not wait for a slot that a busy team fills.
 * A team is held off the reserve only while it has had requests waiting for
 * long without a break and holds at least its share of the other slots.
 */

import type { Clock, TeamId } from '@cuminvale/common'

export interface SlotReserveOptions {
  readonly clock: Clock
  /** Share of a pool's slots kept for teams within their share. */
  readonly reserveShare: number
  /** The team's part of all weights, between 0 and 1. */
  readonly weightShare: (team: TeamId) => number
  /** VMs that share the pool's slots. */
  readonly vmCount: () => number
}

/** A pool as this VM sees it when a request of a team could go. */
export interface PoolSlots {
  readonly free: number
  readonly total: number
  /** Monotonic time since which the team has had requests waiting without a break. */
  readonly waitingSince: number | undefined
}

interface Usage {
  held: number
  /** Slots held on average over about the averaging time. */
  average: number
  updatedAt: number
}

const maximumPools = 64
const lastingBacklogMilliseconds = 3_000
const averagingMilliseconds = 10_000
const forgottenAverage = 0.01

export class SlotReserve {
  private readonly usages = new Map<string, Map<TeamId, Usage>>()

  constructor (private readonly options: SlotReserveOptions) {}

  begin (pool: string, team: TeamId): void {
    if (this.usages.size >= maximumPools) this.prune()
    const teams = this.usages.get(pool) ?? new Map<TeamId, Usage>()
    this.usages.set(pool, teams)
    const usage = teams.get(team) ?? { held: 0, average: 0, updatedAt: this.options.clock.monotonic() }
    teams.set(team, usage)
    this.update(usage)
    usage.held += 1
  }

  end (pool: string, team: TeamId): void {
    const usage = this.usages.get(pool)?.get(team)
    if (usage === undefined) return
    this.update(usage)
    usage.held = Math.max(0, usage.held - 1)
  }

  mayTake (pool: string, team: TeamId, slots: PoolSlots): boolean {
    const { clock, reserveShare } = this.options
    if (slots.free > slots.total * reserveShare) return true
    if (clock.monotonic() - (slots.waitingSince ?? Infinity) < lastingBacklogMilliseconds) return true
    const usage = this.usages.get(pool)?.get(team)
    if (usage === undefined) return true
    this.update(usage)
    return usage.average < this.shareOf(team, slots.total * (1 - reserveShare))
  }

  private shareOf (team: TeamId, slots: number): number {
    return slots * this.options.weightShare(team) / Math.max(1, this.options.vmCount())
  }

  /** Forgets teams and pools that have been idle for long. */
  private prune (): void {
    for (const [pool, teams] of this.usages) {
      for (const [team, usage] of teams) {
        this.update(usage)
        if (usage.held === 0 && usage.average < forgottenAverage) teams.delete(team)
      }
      if (teams.size === 0) this.usages.delete(pool)
    }
  }

  private update (usage: Usage): void {
    const now = this.options.clock.monotonic()
    const kept = Math.exp(-(now - usage.updatedAt) / averagingMilliseconds)
    usage.average = usage.held + (usage.average - usage.held) * kept
    usage.updatedAt = now
  }
}
