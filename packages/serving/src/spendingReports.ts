/**
 * Totals that other VMs report of their teams' spending. Only the increase
 * between two reports is counted, so a lost report loses nothing.
 */

import type { IncarnationId, TeamId, VmId } from '@cuminvale/common'

export interface SpendingReport {
  readonly vm: VmId
  readonly incarnation: IncarnationId
  /** Total spent since the incarnation began, by team. */
  readonly spent: ReadonlyMap<TeamId, number>
  /** Whether the report lists all teams, and not only those whose total has changed since the last report. */
  readonly isComplete: boolean
}

export class SpendingReports {
  private readonly lastReports = new Map<VmId, { readonly incarnation: IncarnationId, readonly spent: Map<TeamId, number> }>()

  /**
   * Amounts spent since the VM's last report. Spending before a VM's first report
   * is not counted. The first report of a later incarnation counts in full. Only
   * a complete report can be the first, since it sets the baseline of every team.
   */
  record ({ vm, incarnation, spent, isComplete }: SpendingReport): ReadonlyArray<readonly [TeamId, number]> {
    const previous = this.lastReports.get(vm)
    if (previous === undefined || previous.incarnation !== incarnation) {
      if (!isComplete) return []
      this.lastReports.set(vm, { incarnation, spent: new Map(spent) })
      return previous === undefined ? [] : [...spent]
    }
    const increases: Array<readonly [TeamId, number]> = []
    for (const [team, amount] of spent) {
      const previousAmount = previous.spent.get(team) ?? 0
      if (amount === previousAmount) continue
      previous.spent.set(team, amount)
      increases.push([team, amount - previousAmount])
    }
    return increases
  }
}

export const addSpending = (sums: Map<TeamId, number>, increases: Iterable<readonly [TeamId, number]>): void => {
  for (const [team, amount] of increases) sums.set(team, (sums.get(team) ?? 0) + amount)
}
