/**
 * The slots of a fake engine. At most `count` requests run at once. The others
 * queue, and interactive requests leave the queue before batch requests.
 */

import { PriorityClass } from '@cuminvale/common'

export class EngineSlots {
  private occupied = 0
  private readonly waiters: Record<PriorityClass, Array<() => void>> = { interactive: [], batch: [] }

  constructor (private readonly count: number) {}

  get running (): number {
    return this.occupied
  }

  get queued (): number {
    return this.waiters.interactive.length + this.waiters.batch.length
  }

  /** Waits for a slot, which the caller must release. */
  async acquire (priority: PriorityClass): Promise<void> {
    if (this.occupied < this.count) {
      this.occupied += 1
      return
    }
    await new Promise<void>((resolve) => this.waiters[priority].push(resolve))
  }

  /** Hands the slot to the next queued request, or frees it if none is queued. */
  release (): void {
    const next = this.waiters[PriorityClass.Interactive].shift() ?? this.waiters[PriorityClass.Batch].shift()
    if (next === undefined) this.occupied -= 1
    else next()
  }
}
