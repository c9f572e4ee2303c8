/**
 * Tokens that a pool dispatches per millisecond while requests wait, averaged
 * with exponential decay. Time since the last dispatch counts as well, so that
 * the rate of a stalled pool falls.
 */

import type { Clock } from '@cuminvale/common'
import { dispatchRateHalfLifeMilliseconds, dispatchRateWarmupMilliseconds } from './constants.js'

export class DispatchRate {
  private tokens = 0
  private milliseconds = 0
  private updatedAt: number

  constructor (private readonly clock: Clock) {
    this.updatedAt = clock.monotonic()
  }

  /** Excludes the time until now, in which the pool was empty: idle time gives no information on its rate. */
  start (): void {
    this.updatedAt = this.clock.monotonic()
  }

  recordDispatch (tokens: number): void {
    const now = this.clock.monotonic()
    const elapsed = now - this.updatedAt
    const decay = 0.5 ** (elapsed / dispatchRateHalfLifeMilliseconds)
    this.tokens = this.tokens * decay + tokens
    this.milliseconds = this.milliseconds * decay + elapsed
    this.updatedAt = now
  }

  /** Milliseconds to dispatch the tokens; undefined before the warm-up time has been observed. */
  millisecondsFor (tokens: number): number | undefined {
    const sinceUpdate = this.clock.monotonic() - this.updatedAt
    const observed = this.milliseconds + sinceUpdate
    if (observed < dispatchRateWarmupMilliseconds || this.tokens === 0) return undefined
    return tokens * observed / this.tokens
  }

  /** Like `millisecondsFor`, but without a warm-up; before the first dispatch, the time without one. */
  roughMillisecondsFor (tokens: number): number {
    const sinceUpdate = this.clock.monotonic() - this.updatedAt
    return this.tokens === 0 ? sinceUpdate : tokens * (this.milliseconds + sinceUpdate) / this.tokens
  }
}
