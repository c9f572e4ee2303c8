/**
 * Forecasts of the upstreams of other regions, as their VMs last reported them.
 * They are corrected by the work that this VM has since forwarded there and not
 * seen answered.
 */

import { FadingSum } from './fadingSum.js'
import { RecentParts } from './recentParts.js'
import type { Clock, RegionId } from '@cuminvale/common'
import type { PromptPartId, ServiceName } from './types.js'

export interface ServiceForecast {
  /** Upstreams that accept new work. */
  readonly upstreams: number
  /** Expected wait at the least busy of these upstreams. */
  readonly waitMilliseconds: number
  /** Requests that could start at once, summed over these upstreams. */
  readonly freeSlots: number
}

interface HeldForecast extends ServiceForecast {
  readonly at: number
}

/** Three report intervals of a VM in another region. */
const forecastFreshMilliseconds = 1_500
/** Weight of the newest report in the averaged wait of a region; two or three VMs report it in turn. */
const reportWeight = 0.4
const maximumParts = 2_048
/** Time until a forwarded request shows in its region's reports: transit there, half a report interval, and transit back. */
const unreportedMilliseconds = 210

export class RegionForecasts {
  private readonly forecasts = new Map<RegionId, Map<ServiceName, HeldForecast>>()
  private readonly parts = new Map<RegionId, RecentParts>()
  private readonly underway = new Map<string, number>()

  private readonly unreported = new Map<string, FadingSum>()

  constructor (private readonly clock: Clock, private readonly siblings: () => number = () => 0) {}

  /**
   * Records a report. Waits are averaged with those of earlier reports. All
   * VMs act on the same reports, and would otherwise forward everything or
   * nothing until the next one.
   */
  heard (region: RegionId, services: ReadonlyMap<ServiceName, ServiceForecast>): void {
    const at = this.clock.monotonic()
    const held = this.forecasts.get(region)
    this.forecasts.set(region, new Map([...services].map(([service, forecast]) => {
      const before = held?.get(service)
      const isFresh = before !== undefined && at - before.at <= forecastFreshMilliseconds
      const waitMilliseconds = isFresh
        ? before.waitMilliseconds + (forecast.waitMilliseconds - before.waitMilliseconds) * reportWeight
        : forecast.waitMilliseconds
      return [service, { ...forecast, waitMilliseconds, at }]
    })))
  }

  find (region: RegionId, service: ServiceName): ServiceForecast | undefined {
    const held = this.forecasts.get(region)?.get(service)
    if (held === undefined || this.clock.monotonic() - held.at > forecastFreshMilliseconds) return undefined
    return held
  }

  /** Records that upstreams of a region have read the parts. */
  heardParts (region: RegionId, ids: Iterable<PromptPartId>): void {
    const parts = this.parts.get(region) ?? new RecentParts(this.clock, maximumParts)
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
   * This is the unanswered work of this VM, plus its recently forwarded work
   * once for each neighbour, since neighbours choose by the same reports.
   */
  underwayTo (region: RegionId, service: ServiceName): number {
    const key = `${region} ${service}`
    const alike = (this.unreported.get(key)?.value(unreportedMilliseconds) ?? 0) * this.siblings()
    return (this.underway.get(key) ?? 0) + alike
  }

  forwarded (region: RegionId, service: ServiceName, workMilliseconds: number): void {
    const key = `${region} ${service}`
    this.underway.set(key, (this.underway.get(key) ?? 0) + workMilliseconds)
    const unreported = this.unreported.get(key) ?? new FadingSum(this.clock)
    unreported.add(workMilliseconds, unreportedMilliseconds)
    this.unreported.set(key, unreported)
  }

  answered (region: RegionId, service: ServiceName, workMilliseconds: number): void {
    const key = `${region} ${service}`
    this.underway.set(key, Math.max(0, (this.underway.get(key) ?? 0) - workMilliseconds))
  }
}
