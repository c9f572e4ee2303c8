/**
 * Calls that are read on though nobody waits for their answers. Each has a time
 * limit, at which it is aborted. The timer runs only while there are any.
 */

import { checkIntervalMilliseconds } from './constants.js'
import type { Clock } from '@cuminvale/common'

export interface DetachedCall {
  abort (): void
}

export class DetachedCalls {
  private readonly endsAt = new Map<DetachedCall, number>()
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly clock: Clock) {}

  get size (): number {
    return this.endsAt.size
  }

  /** Adds a call, or sets a new time limit for it. */
  add (call: DetachedCall, timeoutMilliseconds: number): void {
    this.endsAt.set(call, this.clock.monotonic() + timeoutMilliseconds)
    this.timer ??= setInterval(() => this.abortOverdue(), checkIntervalMilliseconds)
  }

  delete (call: DetachedCall): void {
    this.endsAt.delete(call)
    if (this.endsAt.size === 0) this.stopTimer()
  }

  close (): void {
    const calls = [...this.endsAt.keys()]
    this.endsAt.clear()
    this.stopTimer()
    calls.forEach((call) => call.abort())
  }

  private abortOverdue (): void {
    const now = this.clock.monotonic()
    for (const [call, endsAt] of this.endsAt) {
      if (now < endsAt) continue
      this.delete(call)
      call.abort()
    }
  }

  private stopTimer (): void {
    clearInterval(this.timer)
    this.timer = undefined
  }
}
