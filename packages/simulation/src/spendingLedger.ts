/**
 * Every token admitted anywhere in a simulated fleet, and the check that no
 * window holds more than the burst plus the rate times its length.
 */

import type { RateLimit } from '@cuminvale/limits'
import { millisecondsPerSecond } from '@cuminvale/common'

export interface Spending {
  readonly at: number
  tokens: number
}

export class SpendingLedger {
  private readonly entries: Spending[] = []

  /** Notes an admission; its tokens may be corrected when the request ends. */
  spend (at: number, tokens: number): Spending {
    const entry = { at, tokens }
    this.entries.push(entry)
    return entry
  }

  /**
   * Tokens by which the worst window is over; 0 or less where none is. A full
   * bucket of these amounts runs dry exactly when some window is over.
   */
  overspend (amounts: RateLimit): number {
    let level = amounts.burst
    let updatedAt = -Infinity
    let worst = -Infinity
    for (const { at, tokens } of [...this.entries].sort((first, second) => first.at - second.at)) {
      const gained = updatedAt === -Infinity ? 0 : (at - updatedAt) / millisecondsPerSecond * amounts.ratePerSecond
      level = Math.min(amounts.burst, level + gained) - tokens
      updatedAt = at
      worst = Math.max(worst, -level)
    }
    return worst
  }
}
