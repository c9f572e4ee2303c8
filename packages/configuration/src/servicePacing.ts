/**
 * Paces a VM's calls to the configuration service. Failed calls are retried
 * with jittered backoff, so that the VMs do not overload the service during or
 * after an outage. A read waits for a random delay, in which a peer may deliver
 * the revision first.
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

  /** Records a failed call. Returns the delay before the next one, at random between half of the backoff and all of it. */
  failed (): number {
    const backoff = Math.min(longestRetryMilliseconds, firstRetryMilliseconds * backoffFactor ** this.failures)
    this.failures += 1
    return backoff / 2 + this.random.next() * backoff / 2
  }

  /** Delay between learning of a new revision and reading it from the service. */
  readDelay (): number {
    return this.random.next() * longestReadDelayMilliseconds
  }
}
