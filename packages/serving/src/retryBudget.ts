/**
 * Limits the retries of this VM to its share of a budget that all VMs keep
 * without communicating. Each service has a balance. First sends earn a share of
 * the allowed ratio, and a VM starts with its share of the fixed margin. Where
 * that share is below one retry, a few VMs, drawn by their names, have one each, and
 * the others retry only what their requests of the last window have earned.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import type { Clock } from '@cuminvale/common'
import type { ServiceName } from './types.js'

export interface RetryBudgetOptions {
  readonly clock: Clock
  /** Position of this VM in the draw for the margin: from 0 to 1, evenly spread over the VMs. */
  readonly draw: number
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

  /** Whether this VM has a part of the margin. */
  private get hasMargin (): boolean {
    return this.options.draw < this.halfMarginShare
  }

  private balanceOf (service: ServiceName): { level: number, updatedAt: number } {
    const now = this.options.clock.monotonic()
    const existing = this.balances.get(service)
    if (existing === undefined) {
      const created = { level: this.hasMargin ? this.capacity : 0, updatedAt: now }
      this.balances.set(service, created)
      return created
    }
    const windows = (now - existing.updatedAt) / millisecondsPerSecond / this.options.windowSeconds
    existing.level = this.hasMargin
      ? Math.min(this.capacity, existing.level + windows * this.halfMarginShare)
      // Earnings of earlier windows expire, or all VMs together could spend what each has saved.
      : existing.level * Math.exp(-windows)
    existing.updatedAt = now
    return existing
  }
}
