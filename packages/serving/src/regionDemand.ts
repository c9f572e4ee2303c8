/**
 * What one VM starts and can't serve of each service, and what its region could
 * take on besides: the room and need that the region reports to others. The
 * figures of the region are those of this VM times its VMs, since callers and
 * forwards are spread over all of them. Work is in milliseconds per second.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { DecayingSum } from './decayingSum.js'
import type { Clock } from '@cuminvale/common'
import type { ServiceName, Service } from './types.js'
import type { UpstreamState } from './upstreamState.js'

export interface RoomAndNeed {
  /** Work that the region can take on beyond that of its own callers. */
  readonly roomPerSecond: number
  /** Work of its own callers that it can't serve in time. */
  readonly needPerSecond: number
}

interface ServiceDemand {
  readonly own: DecayingSum
  readonly forwardedHere: DecayingSum
  readonly unserved: DecayingSum
  /** Averages of the region's own load over a short and a longer time; their difference shows its growth. */
  recentLoad: number
  earlierLoad: number
  measuredAt: number
}

/** About one report interval of a small fleet. With 500 ms, regions that a wave had left kept their shares longer (0.91 instead of 0.93 on time in the model of 6 regions). */
const rateMilliseconds = 250
const recentMilliseconds = 200
const earlierMilliseconds = 1_500
/** Share of the capacity that is never offered: what own load may grow by until reports and shares have followed it. */
const reserveShare = 0.05
/** Share of the objective from which on a wait counts as the beginning of need. */
const needWaitShare = 0.25

export class RegionDemand {
  private readonly services = new Map<ServiceName, ServiceDemand>()

  constructor (private readonly clock: Clock, private readonly vmCount: () => number) {}

  /** Records a request that this VM starts at an upstream of its region. */
  started (service: ServiceName, workMilliseconds: number, { isForwardedHere }: { readonly isForwardedHere: boolean }): void {
    const demand = this.demandOf(service)
    const sum = isForwardedHere ? demand.forwardedHere : demand.own
    sum.add(workMilliseconds, rateMilliseconds)
  }

  /** Records a request that was forwarded, or refused for lack of capacity, and that another region may serve. */
  unserved (service: ServiceName, workMilliseconds: number): void {
    this.demandOf(service).unserved.add(workMilliseconds, rateMilliseconds)
  }

  /** Records part of a request as need when it has to wait, so that shares are given before requests are refused. */
  waited (service: ServiceName, workMilliseconds: number, { waitMilliseconds, objectiveMilliseconds }: { readonly waitMilliseconds: number, readonly objectiveMilliseconds: number }): void {
    const part = Math.min(1, waitMilliseconds / Math.max(1, objectiveMilliseconds) - needWaitShare)
    if (part > 0) this.unserved(service, workMilliseconds * part)
  }

  /** Need of the region, estimated from this VM's. */
  needPerSecond (service: ServiceName): number {
    const demand = this.services.get(service)
    return demand === undefined ? 0 : this.regionRate(demand.unserved)
  }

  /** Measures the region before a report. The upstreams are those that accept work. */
  measure ({ name, isEngine }: Service, upstreams: readonly UpstreamState[]): RoomAndNeed {
    const demand = this.demandOf(name)
    const slots = upstreams.reduce((sum, { announced }) => sum + announced.slots, 0)
    const capacity = millisecondsPerSecond * (isEngine ? upstreams.length : slots)
    const ownRate = this.regionRate(demand.own)
    const forwardedRate = this.regionRate(demand.forwardedHere)
    const busySlots = upstreams.reduce((sum, { announced, occupancy }) => sum + Math.min(announced.slots, occupancy), 0)
    // Room must not shrink because it is used, or shares would swing between all and nothing.
    const ownShare = ownRate + forwardedRate === 0 ? 1 : ownRate / (ownRate + forwardedRate)
    const ownLoad = Math.max(isEngine ? ownRate : 0, slots === 0 ? 0 : busySlots / slots * ownShare * capacity)
    const growth = this.recordLoad(demand, ownLoad)
    const roomPerSecond = Math.max(0, capacity * (1 - reserveShare) - demand.recentLoad - growth)
    return { roomPerSecond, needPerSecond: this.needPerSecond(name) }
  }

  /** Returns by how much the load has grown lately; it is taken to grow on until the next report has arrived. */
  private recordLoad (demand: ServiceDemand, load: number): number {
    const now = this.clock.monotonic()
    const elapsed = now - demand.measuredAt
    demand.recentLoad = average(demand.recentLoad, load, elapsed, recentMilliseconds)
    demand.earlierLoad = average(demand.earlierLoad, load, elapsed, earlierMilliseconds)
    demand.measuredAt = now
    return Math.max(0, demand.recentLoad - demand.earlierLoad)
  }

  private regionRate (sum: DecayingSum): number {
    return sum.value(rateMilliseconds) / rateMilliseconds * millisecondsPerSecond * this.vmCount()
  }

  private demandOf (service: ServiceName): ServiceDemand {
    const existing = this.services.get(service)
    if (existing !== undefined) return existing
    const { clock } = this
    const demand = { own: new DecayingSum(clock), forwardedHere: new DecayingSum(clock), unserved: new DecayingSum(clock), recentLoad: 0, earlierLoad: 0, measuredAt: -Infinity }
    this.services.set(service, demand)
    return demand
  }
}

const average = (previous: number, value: number, elapsedMilliseconds: number, timeConstantMilliseconds: number): number =>
  previous + (value - previous) * (1 - Math.exp(-elapsedMilliseconds / timeConstantMilliseconds))
