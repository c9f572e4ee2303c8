/**
 * Demand in tokens per second, as an exponentially decaying average.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { demandMilliseconds } from './constants.js'

export class DemandMeter {
  private sum = 0
  private updatedAt = 0

  add (tokens: number, now: number): void {
    this.sum = this.faded(now) + tokens
    this.updatedAt = now
  }

  perSecond (now: number): number {
    return this.faded(now) / demandMilliseconds * millisecondsPerSecond
  }

  private faded (now: number): number {
    return this.sum * Math.exp(-Math.max(0, now - this.updatedAt) / demandMilliseconds)
  }
}
