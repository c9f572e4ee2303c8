/**
 * What this VM may forward to each other region. A region reports its room; it
 * is divided among all regions in proportion to their need, and the share of
 * this VM's region is divided equally among its VMs. Work is in milliseconds.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import type { Clock, RegionId } from '@cuminvale/common'
import type { RegionDemand, RoomAndNeed } from './regionDemand.js'
import type { ServiceName } from './types.js'

/** How a forward ended, as far as it says something of the other region. */
export const ForwardResult = { Answered: 'answered', Late: 'late', Refused: 'refused', Failed: 'failed' } as const
export type ForwardResult = typeof ForwardResult[keyof typeof ForwardResult]

/** State of the share of one service in one region, for the log. */
export interface ShareState {
  readonly region: RegionId
  readonly service: ServiceName
  /** Milliseconds of work per second that this VM may forward. */
  readonly perSecond: number
}

interface Share {
  report: RoomAndNeed
  reportedAt: number
  /** Milliseconds of work per second of this VM's region, moved towards its part of the room with each report. */
  regionPerSecond: number
  /** Work that may be forwarded now; a request may exceed what is left, and the excess is made up before the next one. */
  level: number
  filledAt: number
  /** Correction by answers, 0 to 1. */
  trust: number
  closedAt: number
}

/** Age of a report from which on the share decays; with the most regions a report comes every 0.8 s and takes up to 0.2 s. */
const freshMilliseconds = 1_000
/** Age at which a report counts for nothing; regions count as silent at the same age. */
const reportLifetimeMilliseconds = 1_500
/** Time after the last report with a room for which a region is not taken for one of an earlier version. */
const versionMemoryMilliseconds = 10_000
/** Time in which a share moves 63 % of the way to its part of the room. */
const dampingMilliseconds = 300
/** Part of the room that is kept for regions that report no need, so that the first requests of a sudden overload can leave. */
const starterShare = 0.2
/** Time for which unused share is kept. */
const burstMilliseconds = 600
/** Time for which a failed forward closes the share, and time in which it then reopens. */
const closedMilliseconds = 500
const reopeningMilliseconds = 2_500
const minimumTrust = 0.1
const trustFactors = { [ForwardResult.Refused]: 0.8, [ForwardResult.Late]: 0.9, [ForwardResult.Failed]: 0.8 } as const
/** Factor by which trust is regained with each answer in time. A fixed gain of 0.02 left it at its minimum with one late answer in five, while the region was idle. */
const trustGainFactor = 1.06
/** Part of the bucket that long prompts leave to other requests; they cost bytes, and lose what their own region has read. */
const longPromptReserve = 0.5

export class RegionShares {
  private readonly services = new Map<ServiceName, Map<RegionId, Share>>()

  constructor (private readonly clock: Clock, private readonly demand: RegionDemand, private readonly vmCount: () => number) {}

  /** Records what a region reported; services that are missing, as from a VM of an earlier version, have no share afterwards and are not limited. */
  recordReport (region: RegionId, reports: ReadonlyMap<ServiceName, RoomAndNeed>): void {
    for (const [service, shares] of this.services) {
      if (!reports.has(service)) shares.delete(region)
    }
    const now = this.clock.monotonic()
    for (const [service, report] of reports) {
      const shares = this.services.get(service) ?? new Map<RegionId, Share>()
      this.services.set(service, shares)
      const share = shares.get(region)
      if (share === undefined) {
        const added = { report, reportedAt: now, regionPerSecond: 0, level: 0, filledAt: now, trust: 1, closedAt: -Infinity }
        shares.set(region, added)
        added.regionPerSecond = this.partOf(region, service, report.roomPerSecond)
        added.level = this.depthOf(added)
        continue
      }
      this.fill(share)
      const elapsed = now - share.reportedAt
      share.report = report
      share.reportedAt = now
      const part = this.partOf(region, service, report.roomPerSecond)
      share.regionPerSecond += (part - share.regionPerSecond) * (1 - Math.exp(-elapsed / dampingMilliseconds))
    }
  }

  /** Milliseconds of work per second that this VM may forward; undefined if the region reports no room, so that nothing limits it. */
  perSecond (region: RegionId, service: ServiceName): number | undefined {
    const share = this.find(region, service)
    return share === undefined ? undefined : this.rateOf(share)
  }

  /** Whether one more request fits the share; one fits a bucket that is not used up, whatever its size. */
  allows (region: RegionId, service: ServiceName, { isLongPrompt }: { readonly isLongPrompt: boolean }): boolean {
    const share = this.find(region, service)
    if (share === undefined) return true
    this.fill(share)
    return share.level > (isLongPrompt ? this.depthOf(share) * longPromptReserve : 0)
  }

  forwarded (region: RegionId, service: ServiceName, workMilliseconds: number): void {
    const share = this.find(region, service)
    if (share === undefined) return
    this.fill(share)
    // Requests that must leave are not limited, and their excess is bounded, so that others are not held up for long.
    share.level = Math.max(share.level - workMilliseconds, -Math.max(workMilliseconds, this.rateOf(share)))
  }

  recordResult (region: RegionId, service: ServiceName, result: ForwardResult): void {
    const share = this.find(region, service)
    if (share === undefined) return
    this.fill(share)
    if (result === ForwardResult.Answered) {
      share.trust = Math.min(1, share.trust * trustGainFactor)
      return
    }
    share.trust = Math.max(minimumTrust, share.trust * trustFactors[result])
    if (result === ForwardResult.Failed) {
      share.closedAt = this.clock.monotonic()
      share.level = Math.min(0, share.level)
    }
  }

  get all (): readonly ShareState[] {
    return [...this.services].flatMap(([service, shares]) =>
      [...shares].map(([region, share]) => ({ region, service, perSecond: this.rateOf(share) })))
  }

  /** The part of a region's room that this VM's region may use. */
  private partOf (region: RegionId, service: ServiceName, roomPerSecond: number): number {
    const shares = this.services.get(service) ?? new Map<RegionId, Share>()
    const now = this.clock.monotonic()
    const ownNeed = this.demand.needPerSecond(service)
    let totalNeed = ownNeed
    let regions = 1
    for (const [other, { report, reportedAt }] of shares) {
      if (other === region || now - reportedAt > reportLifetimeMilliseconds) continue
      totalNeed += report.needPerSecond
      regions += 1
    }
    const starterNeed = roomPerSecond * starterShare / regions
    if (roomPerSecond <= 0) return 0
    return roomPerSecond * (ownNeed + starterNeed) / (totalNeed + starterNeed * regions)
  }

  private fill (share: Share): void {
    const now = this.clock.monotonic()
    const perSecond = this.rateOf(share)
    share.level = Math.min(this.depthOf(share), share.level + perSecond * (now - share.filledAt) / millisecondsPerSecond)
    share.filledAt = now
  }

  private depthOf (share: Share): number {
    return this.rateOf(share) * burstMilliseconds / millisecondsPerSecond
  }

  private rateOf ({ regionPerSecond, reportedAt, trust, closedAt }: Share): number {
    const now = this.clock.monotonic()
    const freshness = clampToOne((reportLifetimeMilliseconds - (now - reportedAt)) / (reportLifetimeMilliseconds - freshMilliseconds))
    const opening = clampToOne((now - closedAt - closedMilliseconds) / reopeningMilliseconds)
    return regionPerSecond / Math.max(1, this.vmCount()) * trust * freshness * opening
  }

  private find (region: RegionId, service: ServiceName): Share | undefined {
    const share = this.services.get(service)?.get(region)
    return share === undefined || this.clock.monotonic() - share.reportedAt > versionMemoryMilliseconds ? undefined : share
  }
}

const clampToOne = (value: number): number => Math.min(1, Math.max(0, value))
