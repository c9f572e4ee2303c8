/**
 * State of one upstream as this VM knows or estimates it: this VM's requests
 * there, loads reported by other VMs and the upstream, latency, and recently
 * read prompt parts.
 */

import { FadingSum } from './fadingSum.js'
import { RecentParts } from './recentParts.js'
import { SendWindow } from './sendWindow.js'
import type { Clock } from '@cuminvale/common'
import type { AnnouncedUpstream, PromptPart, PromptPartId } from './types.js'

/** Load that an upstream reports of itself. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** Requests of one or more VMs at an upstream, and their unread prompt tokens. */
export interface OthersLoad {
  readonly inFlight: number
  readonly pendingTokens: number
}

/** The neighbours that choose by the same load reports, and how often they report. */
export interface ReportShape {
  /** Other known VMs of the region. */
  readonly siblings: number
  /** Time between two reports of one VM. */
  readonly intervalMilliseconds: number
}

/** Age of a report in intervals: half an interval on average, the rest for its transit and for timer delays. */
const unreportedIntervals = 0.6
/** For a VM without neighbours that choose by the same reports. */
const noSiblings: ReportShape = { siblings: 0, intervalMilliseconds: 200 }

/** Age after which an upstream's report is less accurate than the other VMs' own counts. */
const loadFreshMilliseconds = 400
/** Weight of the newest observation in the moving average; a slow upstream shows within about fifteen answers. */
const observationWeight = 0.12
const slownessRange = { least: 0.6, most: 8 } as const
const firstPenaltyMilliseconds = 600
const longestPenaltyMilliseconds = 5_000
const failuresBeforePenalty = 3
const maximumParts = 512

export class UpstreamBelief {
  ownInFlight = 0
  /** Prompt tokens of this VM's requests without a first answer. */
  ownPendingTokens = 0
  others: OthersLoad = { inFlight: 0, pendingTokens: 0 }
  /** Ratio of observed to predicted time to the first answer. */
  slowness = 1
  coldUntil = 0
  lastAnswerAt = -Infinity
  /** Whether another upstream has answered at its address: it is gone, even if it is still announced. */
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

  /** Requests of all VMs at the upstream, as far as known or estimated. */
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

  /** Records a send. The other VMs know the same of this upstream and have likely sent as much since their last reports. */
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

  /** Whether it failed often enough recently to be skipped while other upstreams are left. */
  get isAvoided (): boolean {
    return this.clock.monotonic() < this.avoidUntil
  }

  becomeCold (milliseconds: number): void {
    if (milliseconds > 0) this.coldUntil = Math.max(this.coldUntil, this.clock.monotonic() + milliseconds)
  }

  reported (load: ReportedLoad): void {
    this.load = { ...load, at: this.clock.monotonic(), ownThen: this.ownInFlight }
  }

  /** Records the observed time to a first answer and the time that was predicted for it. */
  observed (seenMilliseconds: number, predictedMilliseconds: number): void {
    const ratio = seenMilliseconds / Math.max(1, predictedMilliseconds / this.slowness)
    const bounded = Math.min(slownessRange.most, Math.max(slownessRange.least, ratio))
    // Averages ratios, not times: a few answers behind a queue that was not reported yet say little about the upstream.
    this.slowness *= (bounded / this.slowness) ** observationWeight
  }

  succeeded (): void {
    this.lastAnswerAt = this.clock.monotonic()
    this.failures = 0
    this.penalty = 0
  }

  /** Records a failure of the upstream; several in a row eject it, for longer each time it happens without a success. */
  failed (weight = 1): void {
    this.failures += weight
    if (this.failures < failuresBeforePenalty) return
    this.failures = 0
    this.penalty = Math.min(longestPenaltyMilliseconds, Math.max(firstPenaltyMilliseconds, this.penalty * 2))
    this.avoidUntil = this.clock.monotonic() + this.penalty
  }

  /** Prompt tokens that the upstream has to read, given the parts that it was sent recently. */
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

  /** Records that the upstream reads the parts, for a request of this VM or another. */
  readParts (ids: readonly PromptPartId[]): void {
    this.parts.add(ids)
  }

  forgetParts (): void {
    this.parts.clear()
  }
}
