/**
 * Forecasts of the upstreams of other regions, as their VMs last reported them.
 * They are corrected by the work that this VM has since forwarded there and not
 * seen answered.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { DecayingSum } from './decayingSum.js'
import { RecentParts } from './recentParts.js'
import { RegionDemand } from './regionDemand.js'
import { RegionShares } from './regionShares.js'
import type { Clock, RegionId } from '@cuminvale/common'
import type { RoomAndNeed } from './regionDemand.js'
import type { PromptPartId, ServiceName } from './types.js'

export interface ServiceForecast {
  /** Upstreams that accept new work. */
  readonly upstreams: number
  /** Expected wait at the least busy of these upstreams. */
  readonly waitMilliseconds: number
  /** Requests that could start at once, summed over these upstreams. */
  readonly freeSlots: number
  /** Undefined from a VM of an earlier version. */
  readonly roomAndNeed?: RoomAndNeed | undefined
}

interface StoredForecast extends ServiceForecast {
  readonly at: number
}

/** Three report intervals of a VM in another region. */
const forecastLifetimeMilliseconds = 1_500
/** Weight of the newest report in the averaged wait of a region; two or three VMs report it in turn. */
const reportWeight = 0.4
const maximumPartsPerRegion = 2_048
/** Time until a forwarded request shows in its region's reports: transit there, half a report interval, and transit back. */
const unreportedMilliseconds = 210

export class RegionForecasts {
  readonly demand: RegionDemand
  readonly shares: RegionShares
  private readonly forecasts = new Map<RegionId, Map<ServiceName, StoredForecast>>()
  private readonly parts = new Map<RegionId, RecentParts>()
  private readonly unansweredMilliseconds = new Map<string, number>()

  /** Work that this VM forwarded recently, and the number of these requests. */
  private readonly unreported = new Map<string, { readonly work: DecayingSum, readonly requests: DecayingSum }>()

  /** `maximumVmCount`: VMs of this region that may be running, among which its shares are divided; more than the known ones while not all may be known. */
  constructor (private readonly clock: Clock, private readonly neighbourCount: () => number = () => 0, maximumVmCount = (): number => neighbourCount() + 1) {
    this.demand = new RegionDemand(clock, () => neighbourCount() + 1)
    this.shares = new RegionShares(clock, this.demand, maximumVmCount)
  }

  /**
   * Records a report. Waits are averaged with those of earlier reports. All
   * VMs act on the same reports, and would otherwise forward everything or
   * nothing until the next one.
   */
  recordReport (region: RegionId, services: ReadonlyMap<ServiceName, ServiceForecast>): void {
    const at = this.clock.monotonic()
    this.shares.recordReport(region, new Map([...services].flatMap(([service, { roomAndNeed }]) => roomAndNeed === undefined ? [] : [[service, roomAndNeed]])))
    const previousForecasts = this.forecasts.get(region)
    this.forecasts.set(region, new Map([...services].map(([service, forecast]) => {
      const previous = previousForecasts?.get(service)
      const isFresh = previous !== undefined && at - previous.at <= forecastLifetimeMilliseconds
      const waitMilliseconds = isFresh
        ? previous.waitMilliseconds + (forecast.waitMilliseconds - previous.waitMilliseconds) * reportWeight
        : forecast.waitMilliseconds
      return [service, { ...forecast, waitMilliseconds, at }]
    })))
  }

  find (region: RegionId, service: ServiceName): ServiceForecast | undefined {
    const forecast = this.forecasts.get(region)?.get(service)
    if (forecast === undefined || this.clock.monotonic() - forecast.at > forecastLifetimeMilliseconds) return undefined
    return forecast
  }

  /** Records that upstreams of a region have read the parts. */
  recordParts (region: RegionId, ids: Iterable<PromptPartId>): void {
    const parts = this.parts.get(region) ?? new RecentParts(this.clock, maximumPartsPerRegion)
    parts.add(ids)
    this.parts.set(region, parts)
  }

  /** Parts that each region has read recently. */
  get heldParts (): ReadonlyArray<readonly [RegionId, readonly PromptPartId[]]> {
    return [...this.parts].map(([region, parts]) => [region, parts.all] as const)
  }

  holdsPart (region: RegionId, id: PromptPartId): boolean {
    return this.parts.get(region)?.has(id) === true
  }

  /**
   * Milliseconds of forwarded work that the region's reports do not show yet.
   * Of a region that reports its room, this is the recent work of this VM
   * beyond its share. Otherwise it is the unanswered work of this VM, and what
   * its neighbours may have forwarded by the same reports.
   */
  unreportedWorkMilliseconds (region: RegionId, service: ServiceName): number {
    const key = keyOf(region, service)
    const unansweredMilliseconds = this.unansweredMilliseconds.get(key) ?? 0
    const sharePerSecond = this.shares.perSecond(region, service)
    if (sharePerSecond === undefined) return unansweredMilliseconds + this.neighbourWorkMilliseconds(region, service)
    const recentMilliseconds = this.unreported.get(key)?.work.value(unreportedMilliseconds) ?? 0
    return Math.max(0, Math.min(unansweredMilliseconds, recentMilliseconds) - sharePerSecond * unreportedMilliseconds / millisecondsPerSecond)
  }

  forwarded (region: RegionId, service: ServiceName, workMilliseconds: number): void {
    const key = keyOf(region, service)
    this.unansweredMilliseconds.set(key, (this.unansweredMilliseconds.get(key) ?? 0) + workMilliseconds)
    const unreported = this.unreported.get(key) ?? { work: new DecayingSum(this.clock), requests: new DecayingSum(this.clock) }
    unreported.work.add(workMilliseconds, unreportedMilliseconds)
    unreported.requests.add(1, unreportedMilliseconds)
    this.unreported.set(key, unreported)
    this.shares.forwarded(region, service, workMilliseconds)
  }

  answered (region: RegionId, service: ServiceName, workMilliseconds: number): void {
    const key = keyOf(region, service)
    this.unansweredMilliseconds.set(key, Math.max(0, (this.unansweredMilliseconds.get(key) ?? 0) - workMilliseconds))
  }

  /** Each neighbour is taken to forward as much as this VM, but no more than the free slots of the region in all. */
  private neighbourWorkMilliseconds (region: RegionId, service: ServiceName): number {
    const unreported = this.unreported.get(keyOf(region, service))
    if (unreported === undefined) return 0
    const work = unreported.work.value(unreportedMilliseconds)
    const requests = unreported.requests.value(unreportedMilliseconds)
    const freeSlots = this.find(region, service)?.freeSlots ?? Infinity
    return requests === 0 ? 0 : work * Math.min(this.neighbourCount(), freeSlots / requests)
  }
}

const keyOf = (region: RegionId, service: ServiceName): string => `${region} ${service}`
