/**
 * State that an escrow limiter keeps for one team: its share, the demand for
 * it, and the requests that wait for a loan.
 */

import type { RegionId } from '@cuminvale/common'
import type { Plan } from '@cuminvale/documents'
import { regionShare } from '@cuminvale/documents'
import {
  maximumBorrowBackoffWithWaitersMilliseconds, maximumBorrowBackoffMilliseconds, shareIncreaseDelayMilliseconds, initialBorrowBackoffMilliseconds
} from './constants.js'
import { ChargeWaiters } from './chargeWaiters.js'
import { DemandMeter } from './demandMeter.js'
import { TeamShare } from './teamShare.js'
import type { TeamDemand } from './loanPolicy.js'
import type { RateLimit } from './teamShare.js'

const largestRequestDecayFactor = 0.98

const rateLimitOf = (plan: Plan): RateLimit => ({ ratePerSecond: plan.rateTokensPerSecond, burst: plan.burstTokens })

export class EscrowTeam {
  readonly share: TeamShare
  readonly demand = new DemandMeter()
  readonly waiters = new ChargeWaiters()
  /** Part of the fleet-wide rate and burst that this VM's region holds. */
  regionShare: number
  /** False once the team has left the configuration; its loans must still end before it is deleted. */
  isConfigured = true
  rateLimit: RateLimit
  largestRequestTokens = 0
  /** Earliest time of the next borrow request. */
  nextBorrowAt = -Infinity
  /** Backoff after the next borrow request; it grows until a loan is granted. */
  borrowBackoffMilliseconds = initialBorrowBackoffMilliseconds
  private hasNewRequest = false
  private pendingIncrease: { readonly share: number, readonly at: number } | undefined

  constructor (plan: Plan, region: RegionId, now: number) {
    this.rateLimit = rateLimitOf(plan)
    this.regionShare = regionShare(plan, region)
    this.share = new TeamShare(this.rateLimit, now)
  }

  /** Applies a plan. An increase of the region share is delayed until other regions have given up theirs. */
  setPlan (plan: Plan, region: RegionId, now: number): void {
    this.isConfigured = true
    this.rateLimit = rateLimitOf(plan)
    this.share.setRateLimit(this.rateLimit)
    const nextShare = regionShare(plan, region)
    this.pendingIncrease = nextShare > this.regionShare ? { share: nextShare, at: now + shareIncreaseDelayMilliseconds } : undefined
    this.regionShare = Math.min(this.regionShare, nextShare)
  }

  /** Applies an increase of the region share that is due; returns whether there was one. */
  applyDueShareIncrease (now: number): boolean {
    if (this.pendingIncrease === undefined || now < this.pendingIncrease.at) return false
    this.regionShare = this.pendingIncrease.share
    this.pendingIncrease = undefined
    return true
  }

  /** True if there are loans or waiting requests, or a request has arrived since the share was last checked. */
  get isActive (): boolean {
    return this.hasNewRequest || this.waiters.length > 0 || !this.share.isIdle
  }

  /** True if the share may be too small: requests wait, or one has arrived since the share was last checked. */
  get mayNeedLoan (): boolean {
    return this.hasNewRequest || this.waiters.length > 0
  }

  /** Skips borrow requests until another request arrives, unless requests wait. */
  markShareSufficient (): void {
    this.hasNewRequest = false
  }

  /** Starts the backoff after a borrow request to peers, and doubles the next backoff. */
  startBorrowBackoff (now: number): void {
    this.hasNewRequest = false
    this.nextBorrowAt = now + this.borrowBackoffMilliseconds
    const maximumBackoff = this.waiters.length > 0 ? maximumBorrowBackoffWithWaitersMilliseconds : maximumBorrowBackoffMilliseconds
    this.borrowBackoffMilliseconds = Math.min(maximumBackoff, this.borrowBackoffMilliseconds * 2)
  }

  /** Allows a borrow request immediately, for a request that starts to wait. */
  resetBorrowBackoff (): void {
    this.nextBorrowAt = -Infinity
    this.borrowBackoffMilliseconds = initialBorrowBackoffMilliseconds
  }

  recordRequest (tokens: number, now: number): void {
    this.hasNewRequest = true
    this.demand.add(tokens, now)
    this.largestRequestTokens = Math.max(tokens, this.largestRequestTokens * largestRequestDecayFactor)
  }

  currentDemand (now: number): TeamDemand {
    return { demandPerSecond: this.demand.tokensPerSecond(now), largestRequestTokens: this.largestRequestTokens, rateLimit: this.rateLimit }
  }
}
