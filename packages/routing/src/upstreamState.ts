/**
 * State of one upstream as known to this VM. Load reports arrive late, so the
 * requests that this VM started or ended after the last report was taken are
 * added to it or subtracted from it.
 */

import type { Clock, ModelName } from '@cuminvale/common'
import type { Upstream } from '@cuminvale/documents'
import type { UpstreamView } from './types.js'

export interface LoadSample {
  readonly running: number
  readonly queued: number
  readonly ageMilliseconds: number
  readonly leaving: boolean
  /** Models that the engine has loaded; absent if it does not report them. */
  readonly loaded?: readonly ModelName[]
}

interface OwnChange {
  readonly at: number
  readonly change: 1 | -1
}

/** Limit on the own changes that are kept while no report arrives. */
const maximumOwnChanges = 4_096
/** An upstream without a report for this long counts as returning at its next report. */
const returningAfterMilliseconds = 5_000

export class UpstreamState implements UpstreamView {
  inFlight = 0
  reportedRunning = 0
  reportedQueued = 0
  sampledAt = -Infinity
  warmingSince: number | undefined
  loaded: readonly ModelName[] | undefined
  private isLeaving = false
  private changesSinceReport = 0
  private changes: OwnChange[] = []

  constructor (
    public upstream: Upstream,
    private readonly clock: Clock,
    private readonly isEjected: () => boolean,
    /** Whether the upstream is cold at its first report, as one that was added while others were already running. */
    private readonly startsCold = false
  ) {}

  get leaving (): boolean {
    return this.isLeaving || this.upstream.leaving
  }

  get ejected (): boolean {
    return this.isEjected()
  }

  get reportAgeMilliseconds (): number {
    return this.clock.monotonic() - this.sampledAt
  }

  get occupancy (): number {
    return Math.max(this.inFlight, this.reportedRunning + this.reportedQueued + this.changesSinceReport)
  }

  beginRequest (): void {
    this.inFlight += 1
    this.recordOwnChange(1)
  }

  endRequest (): void {
    if (this.inFlight === 0) return
    this.inFlight -= 1
    this.recordOwnChange(-1)
  }

  report (sample: LoadSample): void {
    const now = this.clock.monotonic()
    const sampledAt = now - sample.ageMilliseconds
    if (sampledAt < this.sampledAt) return
    const isFirst = this.sampledAt === -Infinity
    const isReturning = isFirst ? this.startsCold : sampledAt - this.sampledAt > returningAfterMilliseconds
    if (isReturning) this.warmingSince = now
    this.sampledAt = sampledAt
    this.reportedRunning = sample.running
    this.reportedQueued = sample.queued
    this.isLeaving = sample.leaving
    this.loaded = sample.loaded
    this.changes = this.changes.filter(({ at }) => at > sampledAt)
    this.changesSinceReport = this.changes.reduce((sum, { change }) => sum + change, 0)
  }

  private recordOwnChange (change: OwnChange['change']): void {
    this.changes.push({ at: this.clock.monotonic(), change })
    this.changesSinceReport += change
    if (this.changes.length <= maximumOwnChanges) return
    const [oldest] = this.changes.splice(0, 1)
    this.changesSinceReport -= oldest?.change ?? 0
  }
}
