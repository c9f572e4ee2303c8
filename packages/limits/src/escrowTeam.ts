/**
 * What an escrow limiter keeps of one team: its share, the demand for it, and
 * the requests that wait for a loan.
 */

import type { RegionId } from '@cuminvale/common'
import type { Plan } from '@cuminvale/documents'
import { regionShare } from '@cuminvale/documents'
import {
  awaitedAskMilliseconds, longestAskMilliseconds, shareRaiseMilliseconds, shortestAskMilliseconds
} from './constants.js'
import { ChargeWaiters } from './chargeWaiters.js'
import { DemandMeter } from './demandMeter.js'
import { TeamShare } from './teamShare.js'
import type { ShareNeed } from './loanPolicy.js'
import type { Amounts } from './teamShare.js'

const largestFade = 0.98

const amountsOf = (plan: Plan): Amounts => ({ ratePerSecond: plan.rateTokensPerSecond, burst: plan.burstTokens })

export class EscrowTeam {
  readonly share: TeamShare
  readonly demand = new DemandMeter()
  readonly waiters = new ChargeWaiters()
  /** Part of the fleet-wide amounts that this VM's region holds. */
  regionShare: number
  /** False once the team has left the configuration; its loans still have to end. */
  configured = true
  amounts: Amounts
  largestRequest = 0
  /** When to ask other VMs next, and how long to pause after that; longer while asking is in vain. */
  askAt = -Infinity
  askPause = shortestAskMilliseconds
  private requested = false
  private raise: { readonly share: number, readonly at: number } | undefined

  constructor (plan: Plan, region: RegionId, now: number) {
    this.amounts = amountsOf(plan)
    this.regionShare = regionShare(plan, region)
    this.share = new TeamShare(this.amounts, now)
  }

  /** Adopts a plan. A larger region share waits until other regions have given up theirs. */
  adopt (plan: Plan, region: RegionId, now: number): void {
    this.configured = true
    this.amounts = amountsOf(plan)
    this.share.setAmounts(this.amounts)
    const next = regionShare(plan, region)
    this.raise = next > this.regionShare ? { share: next, at: now + shareRaiseMilliseconds } : undefined
    this.regionShare = Math.min(this.regionShare, next)
  }

  /** Applies a raise that is due; answers whether there was one. */
  applyRaise (now: number): boolean {
    if (this.raise === undefined || now < this.raise.at) return false
    this.regionShare = this.raise.share
    this.raise = undefined
    return true
  }

  /** Whether loans have to be looked after, or a request has come since they last were. */
  get isActive (): boolean {
    return this.requested || this.waiters.length > 0 || !this.share.isIdle
  }

  /** Whether the share may be short: a request has come since peers were last asked, or waits. */
  get mayLack (): boolean {
    return this.requested || this.waiters.length > 0
  }

  /** Notes that the share suffices for now. */
  sufficed (): void {
    this.requested = false
  }

  /** Notes that peers were asked. */
  asked (now: number): void {
    this.requested = false
    this.askAt = now + this.askPause
    const longest = this.waiters.length > 0 ? awaitedAskMilliseconds : longestAskMilliseconds
    this.askPause = Math.min(longest, this.askPause * 2)
  }

  /** Asks without a pause again, after a loan or for a request that waits. */
  askSoon (): void {
    this.askAt = -Infinity
    this.askPause = shortestAskMilliseconds
  }

  noteRequest (tokens: number, now: number): void {
    this.requested = true
    this.demand.add(tokens, now)
    this.largestRequest = Math.max(tokens, this.largestRequest * largestFade)
  }

  need (now: number): ShareNeed {
    return { demandPerSecond: this.demand.perSecond(now), largestRequest: this.largestRequest, amounts: this.amounts }
  }
}
