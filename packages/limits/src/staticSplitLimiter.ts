/**
 * Baseline limiter: each VM holds a fixed, equal part of its region's part of
 * a team's rate and burst. It never overspends while VMs agree on their
 * number, and refuses requests needlessly when demand is uneven.
 */

import { Result } from 'true-myth'
import { RefusalReason, refuse } from '@cuminvale/common'
import { planOfTeam, regionShare } from '@cuminvale/documents'
import type { Clock, Refusal, RegionId, TeamId } from '@cuminvale/common'
import type { Configuration, Plan } from '@cuminvale/documents'
import { maximumRetryAfterMilliseconds } from './constants.js'
import { TokenBucket } from './tokenBucket.js'
import type { TokenBucketParameters } from './tokenBucket.js'
import type { Charge, ChargeCallback, TeamLimiter } from './types.js'

export interface StaticSplitLimiterOptions {
  readonly clock: Clock
  readonly region: RegionId
  /** Number of VMs listed in this region, at least 1. */
  readonly vmCountInRegion: () => number
}

export class StaticSplitLimiter implements TeamLimiter {
  private configuration: Configuration | undefined
  private readonly buckets = new Map<TeamId, TokenBucket>()
  private nextCharge = 1

  constructor (private readonly options: StaticSplitLimiterOptions) {}

  configure (configuration: Configuration): void {
    this.configuration = configuration
    const now = this.options.clock.monotonic()
    for (const team of this.buckets.keys()) {
      if (!configuration.teams.has(team)) this.buckets.delete(team)
    }
    for (const team of configuration.teams.keys()) this.configureTeam(configuration, team, now)
  }

  charge (team: TeamId, tokens: number): Result<Charge, Refusal> {
    const now = this.options.clock.monotonic()
    const bucket = this.buckets.get(team)
    if (bucket === undefined) return Result.err(refuse(RefusalReason.NotInPlan, `team "${team}" has no plan`))
    if (bucket.take(tokens, now)) {
      this.nextCharge += 1
      return Result.ok({ id: this.nextCharge, team, tokens })
    }
    const wait = Math.min(bucket.millisecondsUntil(tokens, now), maximumRetryAfterMilliseconds)
    return Result.err(refuse(RefusalReason.RateExceeded, `team "${team}" is over its rate`, {
      retryAfterMilliseconds: wait
    }))
  }

  chargeOrWait (team: TeamId, tokens: number, onResult: ChargeCallback): void {
    onResult(this.charge(team, tokens))
  }

  chargeAsync (team: TeamId, tokens: number): Promise<Result<Charge, Refusal>> {
    return Promise.resolve(this.charge(team, tokens))
  }

  settle (charge: Charge, usedTokens: number): void {
    const unused = Math.max(0, charge.tokens - usedTokens)
    this.buckets.get(charge.team)?.refund(unused, this.options.clock.monotonic())
  }

  /** Recomputes the buckets after the number of VMs in the region has changed. */
  rebalance (): void {
    if (this.configuration !== undefined) this.configure(this.configuration)
  }

  private configureTeam (configuration: Configuration, team: TeamId, now: number): void {
    const plan = planOfTeam(configuration, team)
    if (plan === undefined) return
    const parameters = this.parametersOf(plan)
    const bucket = this.buckets.get(team)
    if (bucket === undefined) this.buckets.set(team, new TokenBucket(parameters, now))
    else bucket.setParameters(parameters, now)
  }

  private parametersOf (plan: Plan): TokenBucketParameters {
    const part = regionShare(plan, this.options.region) / Math.max(1, this.options.vmCountInRegion())
    return { ratePerSecond: plan.rateTokensPerSecond * part, capacity: plan.burstTokens * part }
  }
}
