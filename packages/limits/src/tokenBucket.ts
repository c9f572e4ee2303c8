/**
 * Token bucket that fills at a rate up to a capacity. In any window, the tokens
 * taken are at most the capacity plus the rate times the window.
 */

import { millisecondsPerSecond } from '@cuminvale/common'

export interface TokenBucketParameters {
  readonly ratePerSecond: number
  readonly capacity: number
}

export class TokenBucket {
  private level = 0
  private updatedAt: number

  /** Starts empty, so that a restart does not allow another burst. */
  constructor (private parameters: TokenBucketParameters, now: number) {
    this.updatedAt = now
  }

  setParameters (parameters: TokenBucketParameters, now: number): void {
    this.refill(now)
    this.parameters = parameters
    this.level = Math.min(this.level, parameters.capacity)
  }

  available (now: number): number {
    this.refill(now)
    return this.level
  }

  take (tokens: number, now: number): boolean {
    this.refill(now)
    if (tokens > this.level) return false
    this.level -= tokens
    return true
  }

  refund (tokens: number, now: number): void {
    this.refill(now)
    this.level = Math.min(this.parameters.capacity, this.level + tokens)
  }

  /** Milliseconds until the bucket holds the tokens; infinite if it never will. */
  millisecondsUntil (tokens: number, now: number): number {
    this.refill(now)
    if (tokens <= this.level) return 0
    if (tokens > this.parameters.capacity || this.parameters.ratePerSecond <= 0) return Infinity
    return (tokens - this.level) / this.parameters.ratePerSecond * millisecondsPerSecond
  }

  private refill (now: number): void {
    const elapsedSeconds = Math.max(0, now - this.updatedAt) / millisecondsPerSecond
    this.level = Math.min(this.parameters.capacity, this.level + elapsedSeconds * this.parameters.ratePerSecond)
    this.updatedAt = Math.max(this.updatedAt, now)
  }
}
