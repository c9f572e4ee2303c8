/**
 * What this VM believes of one upstream: its own work there, what other VMs
 * and the upstream itself report, how fast it answers, and which prompt parts
 * it has read lately.
 */

import { FadingSum } from './fadingSum.js'
import { RecentParts } from './recentParts.js'
import { SendWindow } from './sendWindow.js'
import type { Clock } from '@cuminvale/common'
import type { AnnouncedUpstream, PromptPart, PromptPartId } from './types.js'

export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

export interface OthersLoad {
  readonly inFlight: number
  readonly pendingTokens: number
}

/** VMs that choose by the same reports, and how old those are. */
export interface ReportShape {
  /** Other VMs of the region. */
  readonly siblings: number
  /** Time between two reports of a VM. */
  readonly intervalMilliseconds: number
}

/** Reports are half an interval old on average; the rest is their way and the timers'. */
const unreportedIntervals = 0.6
/** Where nobody else chooses by the same reports. */
const noSiblings: ReportShape = { siblings: 0, intervalMilliseconds: 200 }

/** Ages after which a report says less than the other VMs' own counts. */
const loadFreshMilliseconds = 400
/** Weight of the newest observation in the moving average; a slow upstream shows within some fifteen answers. */
const observationWeight = 0.12
const slownessRange = { least: 0.6, most: 8 } as const
const firstPenaltyMilliseconds = 600
const longestPenaltyMilliseconds = 5_000
const failuresBeforePenalty = 3
const maximumParts = 512

export class UpstreamBelief {
  ownInFlight = 0
  /** Prompt tokens of own requests that have not had their first answer. */
  ownPendingTokens = 0
  others: OthersLoad = { inFlight: 0, pendingTokens: 0 }
  /** Ratio of seen to predicted time to the first answer. */
  slowness = 1
  coldUntil = 0
  lastAnswerAt = -Infinity
  /** Whether another upstream has answered at its address: it is gone, whatever its entry says. */
  isReplaced = false
  readonly sends: SendWindow
  private load: (ReportedLoad & { readonly at: number, readonly ownThen: number }) | undefined
  private failures = 0
  private penalty = 0
  private avoidUntil = 0
  private readonly parts: RecentParts

  private readonly unreportedTokens: FadingSum
  private readonly unreportedSends: FadingSum

  constructor (private readonly clock: Clock, public announced: AnnouncedUpstream, private readonly reportShape: ReportShape = noSiblings) {
    this.sends = new SendWindow(clock)
    this.unreportedTokens = new FadingSum(clock)
    this.unreportedSends = new FadingSum(clock)
    this.parts = new RecentParts(clock, maximumParts)
  }

  /** Requests at the upstream, of all VMs, as far as known. */
  get occupancy (): number {
    const { load } = this
    if (load === undefined || this.clock.monotonic() - load.at > loadFreshMilliseconds) {
      return this.ownInFlight + this.others.inFlight + this.unreported(this.unreportedSends)
    }
    return this.ownInFlight + Math.max(0, load.running + load.waiting - load.ownThen)
  }

  get pendingTokens (): number {
    return this.ownPendingTokens + this.others.pendingTokens + this.unreported(this.unreportedTokens)
  }

  /** Notes a send; the other VMs, which know the same of this upstream, have likely sent as much since their last reports. */
  noteSent (unreadTokens: number): void {
    const constant = this.reportShape.intervalMilliseconds * unreportedIntervals
    this.unreportedTokens.add(unreadTokens, constant)
    this.unreportedSends.add(1, constant)
    this.sends.sent()
  }

  private unreported (own: FadingSum): number {
    const { siblings, intervalMilliseconds } = this.reportShape
    return own.value(intervalMilliseconds * unreportedIntervals) * siblings
  }

  get isCold (): boolean {
    return this.clock.monotonic() < this.coldUntil
  }

  /** Whether it failed often enough lately to be passed over where others are left. */
  get isAvoided (): boolean {
    return this.clock.monotonic() < this.avoidUntil
  }

  becomeCold (milliseconds: number): void {
    if (milliseconds > 0) this.coldUntil = Math.max(this.coldUntil, this.clock.monotonic() + milliseconds)
  }

  reported (load: ReportedLoad): void {
    this.load = { ...load, at: this.clock.monotonic(), ownThen: this.ownInFlight }
  }

  /** Notes the time to a first answer against what was predicted for it. */
  observed (seenMilliseconds: number, predictedMilliseconds: number): void {
    const ratio = seenMilliseconds / Math.max(1, predictedMilliseconds / this.slowness)
    const bounded = Math.min(slownessRange.most, Math.max(slownessRange.least, ratio))
    // Averages ratios, not times: a few answers behind a queue that nobody reported yet say little about the upstream.
    this.slowness *= (bounded / this.slowness) ** observationWeight
  }

  succeeded (): void {
    this.lastAnswerAt = this.clock.monotonic()
    this.failures = 0
    this.penalty = 0
  }

  /** Notes a failure of its own; several in a row set it aside for a while. */
  failed (weight = 1): void {
    this.failures += weight
    if (this.failures < failuresBeforePenalty) return
    this.failures = 0
    this.penalty = Math.min(longestPenaltyMilliseconds, Math.max(firstPenaltyMilliseconds, this.penalty * 2))
    this.avoidUntil = this.clock.monotonic() + this.penalty
  }

  /** Tokens of the prompt that it has to read, by the parts it was sent lately. */
  unreadTokens (promptTokens: number, parts: readonly PromptPart[]): number {
    let known = 0
    for (const part of parts) {
      if (!this.parts.has(part.id)) break
      known += part.tokens
    }
    return Math.max(1, promptTokens - known)
  }

  knowsPart (id: PromptPartId): boolean {
    return this.parts.has(id)
  }

  /** Notes that the parts are read there, by a request of this VM or another. */
  readParts (ids: readonly PromptPartId[]): void {
    this.parts.add(ids)
  }

  forgetParts (): void {
    this.parts.clear()
  }
}
