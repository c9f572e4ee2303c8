/**
 * Records every token that a simulated fleet admits. Checks that no time
 * window holds more than the burst plus the rate times the window's length.
 */

import type { RateLimit } from '@cuminvale/limits'
import { millisecondsPerSecond } from '@cuminvale/common'

export interface SpendingEntry {
  /** Time of admission, in milliseconds. */
  readonly at: number
  tokens: number
}

export class SpendingLedger {
  private readonly entries: SpendingEntry[] = []

  /** Records an admission. The caller may correct the tokens of the returned entry when the request ends. */
  record (at: number, tokens: number): SpendingEntry {
    const entry = { at, tokens }
    this.entries.push(entry)
    return entry
  }

  /**
   * Largest number of tokens by which any window exceeds its allowance; 0 or
   * less if no window does. A token bucket that starts full goes below zero
   * exactly when some window exceeds its allowance.
   */
  largestOverspendTokens (amounts: RateLimit): number {
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
