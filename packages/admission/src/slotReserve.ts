/**
 * Reserves the last slots of a pool for teams without a lasting backlog, so that
 * a request of a team with little load does not wait for slots used by a busy
 * team. A team is kept off the reserve only if it has continuously had requests
 * waiting for a long time and uses at least its share of the other slots.
 */

import type { Clock, TeamId } from '@cuminvale/common'

export interface SlotReserveOptions {
  readonly clock: Clock
  /** Share of a pool's slots reserved for teams within their share. */
  readonly reservedSlotShare: number
  /** The team's part of the sum of all weights, between 0 and 1. */
  readonly weightShare: (team: TeamId) => number
  /** Number of VMs that share the pool's slots. */
  readonly vmCount: () => number
}

/** State of a pool at this VM when a request of a team could be dispatched. */
export interface PoolSlots {
  readonly free: number
  readonly total: number
  /** Monotonic time since which the team has continuously had requests waiting. */
  readonly waitingSince: number | undefined
}

interface Usage {
  held: number
  /** Average number of held slots, exponentially decaying with `usageTimeConstantMilliseconds`. */
  averageHeld: number
  updatedAt: number
}

/** Once this many pools are tracked, idle teams and pools are deleted. */
const poolPruningThreshold = 64
const lastingBacklogMilliseconds = 3_000
const usageTimeConstantMilliseconds = 10_000
/** Teams without held slots are deleted when their average falls below this. */
const minimumTrackedAverage = 0.01

export class SlotReserve {
  private readonly usages = new Map<string, Map<TeamId, Usage>>()

  constructor (private readonly options: SlotReserveOptions) {}

  /** Counts a started request of the team in the pool. */
  begin (pool: string, team: TeamId): void {
    if (this.usages.size >= poolPruningThreshold) this.prune()
    const teams = this.usages.get(pool) ?? new Map<TeamId, Usage>()
    this.usages.set(pool, teams)
    const usage = teams.get(team) ?? { held: 0, averageHeld: 0, updatedAt: this.options.clock.monotonic() }
    teams.set(team, usage)
    this.update(usage)
    usage.held += 1
  }

  /** Counts an ended request of the team in the pool. */
  end (pool: string, team: TeamId): void {
    const usage = this.usages.get(pool)?.get(team)
    if (usage === undefined) return
    this.update(usage)
    usage.held = Math.max(0, usage.held - 1)
  }

  /** Whether a request of the team may take a free slot of the pool. */
  mayTakeSlot (pool: string, team: TeamId, slots: PoolSlots): boolean {
    const { clock, reservedSlotShare: reserveShare } = this.options
    if (slots.free > slots.total * reserveShare) return true
    if (clock.monotonic() - (slots.waitingSince ?? Infinity) < lastingBacklogMilliseconds) return true
    const usage = this.usages.get(pool)?.get(team)
    if (usage === undefined) return true
    this.update(usage)
    return usage.averageHeld < this.slotShareOf(team, slots.total * (1 - reserveShare))
  }

  private slotShareOf (team: TeamId, slots: number): number {
    return slots * this.options.weightShare(team) / Math.max(1, this.options.vmCount())
  }

  /** Deletes teams and pools that have been idle for a long time, to bound memory. */
  private prune (): void {
    for (const [pool, teams] of this.usages) {
      for (const [team, usage] of teams) {
        this.update(usage)
        if (usage.held === 0 && usage.averageHeld < minimumTrackedAverage) teams.delete(team)
      }
      if (teams.size === 0) this.usages.delete(pool)
    }
  }

  private update (usage: Usage): void {
    const now = this.options.clock.monotonic()
    const decayFactor = Math.exp(-(now - usage.updatedAt) / usageTimeConstantMilliseconds)
    usage.averageHeld = usage.held + (usage.averageHeld - usage.held) * decayFactor
    usage.updatedAt = now
  }
}
