/**
 * Reports between regions. A speaker packs what its region spends, can take on
 * and has read; any VM applies the reports of other regions, from whichever VM
 * they come.
 */

import { ReportFollower, ReportUse } from '@cuminvale/serving'
import { MemberListSchedule, unpackMember } from './memberListSchedule.js'
import { packMessage } from './linkMessages.js'
import { maximumTicksBetweenReports, regionsPerReportTick } from './constants.js'
import type { PeerIdentity, RoomAndNeed, ServiceForecast, ServiceName } from '@cuminvale/serving'
import type { RegionReport } from './linkMessages.js'
import type { GatewayState } from './gatewayState.js'

export interface RegionReportsOptions {
  readonly state: GatewayState
  readonly self: PeerIdentity
}

export class RegionReports {
  private readonly follower: ReportFollower
  private readonly memberList: MemberListSchedule
  private sequence = 0
  private tickCount = 0

  constructor (private readonly options: RegionReportsOptions) {
    const { clock } = options.state
    this.follower = new ReportFollower({ clock })
    this.memberList = new MemberListSchedule(clock)
  }

  /** Packs the next report for the speakers of other regions, if one is due. Called every tick. */
  tick (speakers: readonly PeerIdentity[], { isUrgent }: { readonly isUrgent: boolean }): Buffer | undefined {
    this.tickCount += 1
    const isDue = isUrgent || this.tickCount % ticksBetweenReports(speakers) === 0
    return speakers.length > 0 && isDue ? this.pack() : undefined
  }

  /** Applies a report. Returns true if it is new and comes from the followed speaker of its region, so that it is worth relaying. */
  receive ({ region, vm, incarnation, sequence, spent, forecasts, room, need, parts, members, departed }: RegionReport): boolean {
    const { state } = this.options
    const use = this.follower.classify({ group: region, vm, incarnation, sequence })
    if (use === ReportUse.Stale) return false
    for (const identity of departed) state.peers.left(identity)
    state.peers.recordRegionReport(region, members?.map(unpackMember))
    state.rateLimiter.recordRegionReport({ vm, incarnation, spent: new Map(spent), isComplete: true }, use === ReportUse.Followed)
    if (use === ReportUse.Spare) return false
    const rooms = room === undefined || this.options.state.settings.hasRegionShares === false ? undefined : new Map(room)
    const needs = new Map(need)
    state.forecasts.recordReport(region, new Map(forecasts.map(([service, upstreams, waitMilliseconds, freeSlots]) =>
      [service, { upstreams, waitMilliseconds, freeSlots, roomAndNeed: toRoomAndNeed(rooms?.get(service), needs.get(service)) }])))
    state.forecasts.recordParts(region, parts)
    return true
  }

  /** Takes the prompt parts that are due, so they are sent only once. */
  private pack (): Buffer {
    const { state, self } = this.options
    const { vm, incarnation, region } = self
    this.sequence += 1
    const forecasts = [...state.regionForecasts()]
    const members = [{ identity: self, isReady: state.isReady }, ...state.peers.heardNeighbours]
    return packMessage({
      kind: 'region-report',
      region,
      vm,
      incarnation,
      sequence: this.sequence,
      at: state.records.at,
      spent: [...state.rateLimiter.regionSpending()],
      forecasts: forecasts.map(([service, { upstreams, waitMilliseconds, freeSlots }]) =>
        [service, upstreams, Math.round(waitMilliseconds), freeSlots] as const),
      ...state.settings.hasRegionShares === false ? {} : packRoomAndNeed(forecasts),
      parts: state.takePartsToReportToOtherRegions(),
      departed: state.peers.recentDepartures,
      ...this.memberList.next(members, this.tickCount)
    })
  }
}

const packRoomAndNeed = (forecasts: ReadonlyArray<readonly [ServiceName, ServiceForecast]>): Pick<RegionReport, 'room' | 'need'> => ({
  room: forecasts.map(([service, { roomAndNeed }]) => [service, Math.round(roomAndNeed?.roomPerSecond ?? 0)] as const),
  need: forecasts.map(([service, { roomAndNeed }]) => [service, Math.round(roomAndNeed?.needPerSecond ?? 0)] as const).filter(([, perSecond]) => perSecond > 0)
})

/** Undefined if the report names no room for the service, or an amount that is none. */
const toRoomAndNeed = (roomPerSecond: number | undefined, needPerSecond = 0): RoomAndNeed | undefined =>
  isAmount(roomPerSecond) && isAmount(needPerSecond) ? { roomPerSecond, needPerSecond } : undefined

const isAmount = (value: number | undefined): value is number => value !== undefined && Number.isFinite(value) && value >= 0

const ticksBetweenReports = (speakers: readonly PeerIdentity[]): number => {
  const regions = new Set(speakers.map(({ region }) => region)).size
  return Math.min(maximumTicksBetweenReports, Math.max(1, Math.ceil(regions / regionsPerReportTick)))
}
