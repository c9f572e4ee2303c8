/**
 * A simulated clock that moves only when it is advanced, so that simulations
 * need no real time. Events fire in the order of their due times; ties fire in
 * the order in which they were scheduled.
 */

import type { Clock } from '@cuminvale/common'

interface ScheduledEvent {
  readonly dueAt: number
  readonly order: number
  readonly run: () => void
}

export class VirtualClock implements Clock {
  private now = 0
  private lastOrder = 0
  private readonly heap: ScheduledEvent[] = []

  constructor (private readonly epochMilliseconds = 1_700_000_000_000) {}

  monotonic (): number {
    return this.now
  }

  wall (): number {
    return this.epochMilliseconds + this.now
  }

  schedule (delayMilliseconds: number, run: () => void): void {
    this.lastOrder += 1
    this.push({ dueAt: this.now + Math.max(0, delayMilliseconds), order: this.lastOrder, run })
  }

  /** Moves the clock forward and runs every event that falls due on the way. */
  advance (milliseconds: number): void {
    const end = this.now + milliseconds
    for (let next = this.heap[0]; next !== undefined && next.dueAt <= end; next = this.heap[0]) {
      this.pop()
      this.now = Math.max(this.now, next.dueAt)
      next.run()
    }
    this.now = end
  }

  private push (event: ScheduledEvent): void {
    let index = this.heap.push(event) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(event, this.at(parent))) break
      this.heap[index] = this.at(parent)
      index = parent
    }
    this.heap[index] = event
  }

  private pop (): void {
    const last = this.heap.pop()
    if (last === undefined || this.heap.length === 0) return
    let index = 0
    for (;;) {
      const child = this.smallerChild(index)
      if (child === undefined || !isBefore(this.at(child), last)) break
      this.heap[index] = this.at(child)
      index = child
    }
    this.heap[index] = last
  }

  private smallerChild (index: number): number | undefined {
    const left = 2 * index + 1
    if (left >= this.heap.length) return undefined
    const right = left + 1
    return right < this.heap.length && isBefore(this.at(right), this.at(left)) ? right : left
  }

  private at (index: number): ScheduledEvent {
    return this.heap[index] as ScheduledEvent
  }
}

const isBefore = (first: ScheduledEvent, second: ScheduledEvent): boolean =>
  first.dueAt < second.dueAt || (first.dueAt === second.dueAt && first.order < second.order)
