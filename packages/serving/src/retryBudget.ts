/**
 * Limits the retries of this VM to its share of a budget that all VMs keep
 * without communicating. Each service has a balance. First sends earn a share of
 * the allowed ratio, and a VM starts with its share of the fixed margin.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import type { Clock } from '@cuminvale/common'
import type { ServiceName } from './types.js'

export interface RetryBudgetOptions {
  readonly clock: Clock
  /** Retries allowed per request. */
  readonly ratio: number
  /** Retries allowed in one window in addition to the ratio, for all VMs together. */
  readonly margin: number
  readonly windowSeconds: number
  /** VMs that may be sending, including those that are not heard. */
  readonly vmCount: () => number
}

/** Share of the bounds that is used; the rest covers retries whose requests fall outside the window. */
const usedBoundShare = 0.7

export class RetryBudget {
  private readonly balances = new Map<ServiceName, { level: number, updatedAt: number }>()

  constructor (private readonly options: RetryBudgetOptions) {}

  /** Records the first send of a request to the service, which earns a share of a retry. */
  started (service: ServiceName): void {
    const balance = this.balanceOf(service)
    balance.level = Math.min(this.capacity, balance.level + this.options.ratio * usedBoundShare)
  }

  /** Takes one retry from the balance; returns false if none is left. */
  tryTake (service: ServiceName): boolean {
    const balance = this.balanceOf(service)
    if (balance.level < 1) return false
    balance.level -= 1
    return true
  }

  /** Half of this VM's share of the margin: one window can see both a full balance and the refill of a whole window. */
  private get halfMarginShare (): number {
    return this.options.margin * usedBoundShare / 2 / Math.max(1, this.options.vmCount())
  }

  private get capacity (): number {
    return Math.max(1, this.halfMarginShare)
  }

  private balanceOf (service: ServiceName): { level: number, updatedAt: number } {
    const now = this.options.clock.monotonic()
    const existing = this.balances.get(service)
    if (existing === undefined) {
      const created = { level: this.capacity, updatedAt: now }
      this.balances.set(service, created)
      return created
    }
    const seconds = (now - existing.updatedAt) / millisecondsPerSecond
    existing.level = Math.min(this.capacity, existing.level + seconds * this.halfMarginShare / this.options.windowSeconds)
    existing.updatedAt = now
    return existing
  }
}
