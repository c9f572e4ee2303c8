/**
 * Demand in tokens per second, as an exponentially decaying average.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { demandTimeConstantMilliseconds } from './constants.js'

export class DemandMeter {
  private sum = 0
  private updatedAt = 0

  add (tokens: number, now: number): void {
    this.sum = this.decayedSum(now) + tokens
    this.updatedAt = now
  }

  tokensPerSecond (now: number): number {
    return this.decayedSum(now) / demandTimeConstantMilliseconds * millisecondsPerSecond
  }

  private decayedSum (now: number): number {
    return this.sum * Math.exp(-Math.max(0, now - this.updatedAt) / demandTimeConstantMilliseconds)
  }
}
