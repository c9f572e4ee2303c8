/**
 * Paces a VM's calls to the configuration service: failed calls back off with
 * jitter, so that an outage and its end bring no flood, and a read waits a
 * random moment in which a peer may bring the revision first.
 */

import type { Random } from '@cuminvale/common'

export const firstRetryMilliseconds = 500
export const longestRetryMilliseconds = 10_000
export const longestReadDelayMilliseconds = 200
const backoffFactor = 2

export class ServicePacing {
  private failures = 0

  constructor (private readonly random: Random) {}

  succeeded (): void {
    this.failures = 0
  }

  /** Pause after a failed call: between half of the backoff and all of it. */
  failed (): number {
    const backoff = Math.min(longestRetryMilliseconds, firstRetryMilliseconds * backoffFactor ** this.failures)
    this.failures += 1
    return backoff / 2 + this.random.next() * backoff / 2
  }

  /** Pause between hearing of a revision and reading it. */
  readDelay (): number {
    return this.random.next() * longestReadDelayMilliseconds
  }
}
