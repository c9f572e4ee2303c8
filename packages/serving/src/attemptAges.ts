/**
 * Derives how long a caller has waited before this attempt. Callers of one route
 * are assumed to have the same total time-out. A caller that retries states what
 * is left of it.
 */

import type { RouteName } from '@cuminvale/common'

export class AttemptAges {
  private readonly longestDeadlines = new Map<RouteName, number>()

  /** Milliseconds since the caller's first attempt, derived from the time that the caller will still wait. */
  waitedMilliseconds (route: RouteName, deadlineMilliseconds: number | undefined): number {
    if (deadlineMilliseconds === undefined) return 0
    const longestDeadlineMilliseconds = this.longestDeadlines.get(route) ?? 0
    if (deadlineMilliseconds >= longestDeadlineMilliseconds) {
      this.longestDeadlines.set(route, deadlineMilliseconds)
      return 0
    }
    return longestDeadlineMilliseconds - deadlineMilliseconds
  }
}
