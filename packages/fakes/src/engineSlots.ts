/**
 * The slots of a fake engine: so many requests run at once, the rest queue,
 * interactive ones before batch ones.
 */

import { PriorityClass } from '@cuminvale/common'

export class EngineSlots {
  private occupied = 0
  private readonly waiting: Record<PriorityClass, Array<() => void>> = { interactive: [], batch: [] }

  constructor (private readonly count: number) {}

  get running (): number {
    return this.occupied
  }

  get queued (): number {
    return this.waiting.interactive.length + this.waiting.batch.length
  }

  /** Waits for a slot; it must be released. */
  async acquire (priority: PriorityClass): Promise<void> {
    if (this.occupied < this.count) {
      this.occupied += 1
      return
    }
    await new Promise<void>((resolve) => this.waiting[priority].push(resolve))
  }

  /** Passes the slot on to the first in the queue. */
  release (): void {
    const next = this.waiting[PriorityClass.Interactive].shift() ?? this.waiting[PriorityClass.Batch].shift()
    if (next === undefined) this.occupied -= 1
    else next()
  }
}
