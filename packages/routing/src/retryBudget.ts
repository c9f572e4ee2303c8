/**
 * Retries within a budget. Each first attempt earns a fraction of a retry, for
 * its team and for the VM as a whole. Retries therefore stay a fixed share of
 * the work even if everything fails. Delays are jittered, and their upper bound
 * grows exponentially.
 */

import type { Clock, Random, TeamId } from '@cuminvale/common'
import { millisecondsPerSecond } from '@cuminvale/common'
import { RetryDecisionKind } from './retryPolicy.js'
import type { FailedAttempt, RetryDecision, RetryPolicy } from './retryPolicy.js'

export interface RetryBudgetOptions {
  readonly clock: Clock
  readonly random: Random
}

const retriesEarnedPerAttempt = 0.1
const maximumBalance = 20
/** Lets a team with few requests retry at all. */
const retriesEarnedPerSecond = 0.5
const maximumRetries = 3
const firstBackoffMilliseconds = 10
const maximumBackoffMilliseconds = 1_000

class Balance {
  private level = maximumBalance / 2
  private updatedAt: number

  constructor (now: number) {
    this.updatedAt = now
  }

  earn (now: number, amount: number): void {
    const elapsedSeconds = Math.max(0, now - this.updatedAt) / millisecondsPerSecond
    this.level = Math.min(maximumBalance, this.level + amount + elapsedSeconds * retriesEarnedPerSecond)
    this.updatedAt = now
  }

  get hasRetry (): boolean {
    return this.level >= 1
  }

  spend (): void {
    this.level -= 1
  }
}

export class RetryBudget implements RetryPolicy {
  private readonly teams = new Map<TeamId, Balance>()
  private readonly total: Balance

  constructor (private readonly options: RetryBudgetOptions) {
    this.total = new Balance(options.clock.monotonic())
  }

  started (team: TeamId): void {
    const now = this.options.clock.monotonic()
    this.findOrAddBalance(team).earn(now, retriesEarnedPerAttempt)
    this.total.earn(now, retriesEarnedPerAttempt)
  }

  decide (failed: FailedAttempt): RetryDecision {
    if (failed.attempts > maximumRetries) return { kind: RetryDecisionKind.GiveUp, reason: 'every retry was made' }
    const delayMilliseconds = this.backoffMilliseconds(failed.attempts)
    if (delayMilliseconds >= failed.remainingMilliseconds) {
      return { kind: RetryDecisionKind.GiveUp, reason: 'the deadline is too near' }
    }
    const now = this.options.clock.monotonic()
    const team = this.findOrAddBalance(failed.team)
    team.earn(now, 0)
    this.total.earn(now, 0)
    if (!team.hasRetry || !this.total.hasRetry) {
      return { kind: RetryDecisionKind.GiveUp, reason: 'the retry budget is spent' }
    }
    team.spend()
    this.total.spend()
    return { kind: RetryDecisionKind.Retry, delayMilliseconds }
  }

  private backoffMilliseconds (attempts: number): number {
    const maximumDelayMilliseconds = Math.min(maximumBackoffMilliseconds, firstBackoffMilliseconds * 2 ** (attempts - 1))
    return maximumDelayMilliseconds * this.options.random.next()
  }

  private findOrAddBalance (team: TeamId): Balance {
    const existing = this.teams.get(team)
    if (existing !== undefined) return existing
    const balance = new Balance(this.options.clock.monotonic())
    this.teams.set(team, balance)
    return balance
  }
}
