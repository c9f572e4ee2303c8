/**
 * Counts sends in a sliding window. It enforces a bound that all VMs of a region
 * keep together without communicating: each keeps to its even share. A send
 * counts from the time at which it is written, since one that waits for a
 * connection arrives later than those that follow it on an open one.
 */

import type { Clock } from '@cuminvale/common'

/** Longer than the one second that the bound applies to, since sends arrive with different delays. */
const windowMilliseconds = 1_150

/** A send that is counted; its time is Infinity until it is written, and -Infinity if it never is. */
export interface CountedSend {
  at: number
}

export class SendWindow {
  private readonly sends: CountedSend[] = []

  constructor (private readonly clock: Clock) {}

  /** Whether one more send stays within the bound, counting those since a time. */
  allows (maximumPerSecond: number, since = -Infinity): boolean {
    return this.countSince(since) + 1 <= maximumPerSecond
  }

  /** Sends of the last second. */
  get count (): number {
    return this.countSince(-Infinity)
  }

  /** Sends of the last second since a time, and those that wait to be written. */
  countSince (time: number): number {
    const windowStart = Math.max(this.clock.monotonic() - windowMilliseconds, time)
    while ((this.sends[0]?.at ?? Infinity) <= this.clock.monotonic() - windowMilliseconds) this.sends.shift()
    return this.sends.reduce((count, { at }) => at > windowStart ? count + 1 : count, 0)
  }

  /** Records a send that is written now. */
  sent (): CountedSend {
    return this.add(this.clock.monotonic())
  }

  /** Records a send that waits for its connection. */
  reserve (): CountedSend {
    return this.add(Infinity)
  }

  private add (at: number): CountedSend {
    const windowStart = this.clock.monotonic() - windowMilliseconds
    while ((this.sends[0]?.at ?? Infinity) <= windowStart) this.sends.shift()
    const send = { at }
    this.sends.push(send)
    return send
  }
}
