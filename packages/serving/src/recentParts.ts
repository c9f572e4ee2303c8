/**
 * Prompt parts that were read recently, by one upstream or in one region. Above
 * the maximum number, the least recently read parts are evicted first.
 */

import type { Clock } from '@cuminvale/common'
import type { PromptPartId } from './types.js'

/** Pricing treats a part as cached only within ten seconds of its last use. */
const partLifetimeMilliseconds = 12_000

export class RecentParts {
  private readonly readAt = new Map<PromptPartId, number>()

  constructor (private readonly clock: Clock, private readonly maximumCount: number) {}

  add (ids: Iterable<PromptPartId>): void {
    const now = this.clock.monotonic()
    for (const id of ids) {
      this.readAt.delete(id)
      this.readAt.set(id, now)
    }
    for (const id of this.readAt.keys()) {
      if (this.readAt.size <= this.maximumCount) return
      this.readAt.delete(id)
    }
  }

  has (id: PromptPartId): boolean {
    return (this.readAt.get(id) ?? -Infinity) >= this.clock.monotonic() - partLifetimeMilliseconds
  }

  /** Parts that have not expired, least recently read first. */
  get all (): readonly PromptPartId[] {
    const oldestReadAt = this.clock.monotonic() - partLifetimeMilliseconds
    return [...this.readAt].filter(([, at]) => at >= oldestReadAt).map(([id]) => id)
  }

  clear (): void {
    this.readAt.clear()
  }
}
