/**
 * Requests of one team that wait for tokens, in order of arrival.
 */

import type { Refusal } from '@cuminvale/common'
import type { Result } from 'true-myth'
import { loanWaitCooldownMilliseconds, maximumLoanWaitMilliseconds, maximumWaitersPerTeam } from './constants.js'
import type { Charge, ChargeCallback } from './types.js'

interface ChargeWaiter {
  readonly tokens: number
  readonly until: number
  readonly onResult: ChargeCallback
}

export class ChargeWaiters {
  private waiting: ChargeWaiter[] = []
  private cooldownUntil = -Infinity

  get length (): number {
    return this.waiting.length
  }

  get tokens (): number {
    return this.waiting.reduce((sum, { tokens }) => sum + tokens, 0)
  }

  /** False during the cooldown after a timed-out wait, and while the queue of waiters is full. */
  mayWait (now: number): boolean {
    return now >= this.cooldownUntil && this.waiting.length < maximumWaitersPerTeam
  }

  wait (tokens: number, now: number, onResult: ChargeCallback): void {
    this.waiting.push({ tokens, until: now + maximumLoanWaitMilliseconds, onResult })
  }

  /**
   * Charges waiters in order while tokens last, then settles those whose wait has timed out.
   * A timed-out waiter is tried once more, since a smaller charge behind the first waiter may still succeed.
   */
  serve (now: number, charge: (tokens: number) => Result<Charge, Refusal>): void {
    while (this.waiting[0] !== undefined) {
      const result = charge(this.waiting[0].tokens)
      if (result.isErr) break
      this.waiting.shift()?.onResult(result)
    }
    const timedOut = this.waiting.filter(({ until }) => until <= now)
    if (timedOut.length === 0) return
    this.cooldownUntil = now + loanWaitCooldownMilliseconds
    this.waiting = this.waiting.filter(({ until }) => until > now)
    timedOut.forEach((waiter) => waiter.onResult(charge(waiter.tokens)))
  }
}
