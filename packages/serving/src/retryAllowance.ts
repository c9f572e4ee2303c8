/**
 * Repeats that this VM may send, of a budget that all VMs share without
 * talking. Each service has a balance: first sends earn a part of the allowed
 * ratio, and a VM starts with its part of the fixed margin.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import type { Clock } from '@cuminvale/common'
import type { ServiceName } from './types.js'

export interface RetryAllowanceOptions {
  readonly clock: Clock
  /** Repeats allowed for each request. */
  readonly ratio: number
  /** Repeats allowed beside the ratio in one window, of all VMs together. */
  readonly margin: number
  readonly windowSeconds: number
  /** VMs that may be sending, those included that can't be seen. */
  readonly vmCount: () => number
}

/** Part of the bounds that is used; the rest covers requests that a window cuts off from their repeats. */
const usedShare = 0.7

export class RetryAllowance {
  private readonly balances = new Map<ServiceName, { level: number, updatedAt: number }>()

  constructor (private readonly options: RetryAllowanceOptions) {}

  /** Notes a first send. */
  started (service: ServiceName): void {
    const balance = this.balanceOf(service)
    balance.level = Math.min(this.capacity, balance.level + this.options.ratio * usedShare)
  }

  /** Takes one repeat, where there is one. */
  take (service: ServiceName): boolean {
    const balance = this.balanceOf(service)
    if (balance.level < 1) return false
    balance.level -= 1
    return true
  }

  /** A window can see a full balance and a window's refill: each is half of this VM's part of the margin. */
  private get part (): number {
    return this.options.margin * usedShare / 2 / Math.max(1, this.options.vmCount())
  }

  private get capacity (): number {
    return Math.max(1, this.part)
  }

  private balanceOf (service: ServiceName): { level: number, updatedAt: number } {
    const now = this.options.clock.monotonic()
    const held = this.balances.get(service)
    if (held === undefined) {
      const made = { level: this.capacity, updatedAt: now }
      this.balances.set(service, made)
      return made
    }
    const seconds = (now - held.updatedAt) / millisecondsPerSecond
    held.level = Math.min(this.capacity, held.level + seconds * this.part / this.options.windowSeconds)
    held.updatedAt = now
    return held
  }
}
