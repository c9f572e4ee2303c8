/**
 * What this VM knows of the start of an upstream's process: until when it counts
 * as cold, and by which sign.
 */

import type { Clock } from '@cuminvale/common'

/** Signs by which an upstream counts as cold. */
export const ColdSign = {
  /** Its record appeared, or names another start. */
  Appeared: 'appeared',
  /** Its record names a cold time. */
  Announced: 'announced',
  /** Its failure domain returned from an evacuation. */
  Evacuation: 'evacuation',
  /** It was unreachable and answers again. */
  Returned: 'returned'
} as const
export type ColdSign = typeof ColdSign[keyof typeof ColdSign]

export class UpstreamStart {
  /** The sign that was the reason of the current or last cold time. */
  sign: ColdSign = ColdSign.Appeared
  private coldUntil = 0

  constructor (private readonly clock: Clock) {}

  get isCold (): boolean {
    return this.coldMilliseconds > 0
  }

  /** Milliseconds for which it still counts as cold. */
  get coldMilliseconds (): number {
    return Math.max(0, this.coldUntil - this.clock.monotonic())
  }

  /** Counts it as cold for a time; a shorter one doesn't replace a longer one. Returns false if that changes nothing. */
  markCold (milliseconds: number, sign: ColdSign): boolean {
    const until = this.clock.monotonic() + milliseconds
    if (milliseconds <= 0 || until <= this.coldUntil) return false
    this.coldUntil = until
    this.sign = sign
    return true
  }
}
