/**
 * Decides where a request goes: to an upstream of this VM's region, to a VM of
 * another permitted region, or back to the caller with the time after which to
 * come again.
 */

import { rendezvousScore } from '@cuminvale/common'
import { plainRunMilliseconds, predict, prefillMilliseconds } from './prediction.js'
import type { Clock, Random, RegionId, UpstreamId } from '@cuminvale/common'
import type { Prediction } from './prediction.js'
import type { RegionForecasts } from './regionForecasts.js'
import type { UpstreamBelief } from './upstreamBelief.js'
import type { UpstreamBoard } from './upstreamBoard.js'
import type { AdmittedRequest, ServiceName, ServiceShape } from './types.js'

export const PlacementKind = { Run: 'run', Forward: 'forward', Refuse: 'refuse' } as const

export type Placement =
  | { readonly kind: typeof PlacementKind.Run, readonly belief: UpstreamBelief, readonly prediction: Prediction }
  | { readonly kind: typeof PlacementKind.Forward, readonly region: RegionId, readonly milliseconds: number, readonly workMilliseconds: number }
  | { readonly kind: typeof PlacementKind.Refuse, readonly reason: string, readonly retryAfterMilliseconds: number }

export interface PlacementQuery {
  readonly request: AdmittedRequest
  readonly remainingMilliseconds: number
  /** Whether the request may go to another region from here. */
  readonly mayForward: boolean
  readonly excluded: ReadonlySet<UpstreamId>
  readonly excludedRegions: ReadonlySet<RegionId>
}

export interface PlacementOptions {
  readonly clock: Clock
  readonly random: Random
  readonly region: RegionId
  readonly board: UpstreamBoard
  readonly forecasts: RegionForecasts
  readonly shapeOf: (service: ServiceName) => ServiceShape | undefined
  /** Regions with a VM that can be reached, this one left out. */
  readonly reachableRegions: () => readonly RegionId[]
  /** Sends a second that this VM may make to one cold upstream. */
  readonly coldSendsPerSecond: (shape: ServiceShape) => number
  /** Connections that this VM may hold to one upstream. */
  readonly connectionShare: (shape: ServiceShape) => number
  readonly roundTripMilliseconds: (region: RegionId) => number
}

interface Candidate {
  readonly belief: UpstreamBelief
  readonly prediction: Prediction
  readonly cost: number
}

/** Gain below which a request stays in its region, since the report of the other one is old when it arrives. */
const awayMarginMilliseconds = 40
/** Part of the remaining time that may pass before an upstream begins; later it would be late anyway. */
const latestStartShare = 0.8
/** Advantage of the upstream that rendezvous hashing names for a shared part that nobody is known to hold. */
const homeAdvantageMilliseconds = 30
/** Parts shorter than this are read faster than their placement is worth. */
const longPartTokens = 1_000
/** Share of shared parts that another region is assumed to hold; all regions are asked for the same ones. */
const remoteCachedShare = 0.6
const leastRetryAfterMilliseconds = 100
const longestRetryAfterMilliseconds = 2_000

export class PlacementChooser {
  constructor (private readonly options: PlacementOptions) {}

  choose (query: PlacementQuery): Placement {
    const { request } = query
    const { region, random } = this.options
    const mayRunHere = request.regions?.has(region) ?? true
    const local = mayRunHere ? this.bestLocal(query) : undefined
    const away = query.mayForward ? this.bestAway(query) : undefined
    const latest = query.remainingMilliseconds * latestStartShare
    const isLocalTimely = local !== undefined && local.prediction.waitMilliseconds <= latest
    const margin = awayMarginMilliseconds * (1 + random.next())
    if (away !== undefined && away.milliseconds <= latest && (!isLocalTimely || away.milliseconds + margin < local.prediction.milliseconds)) {
      return { kind: PlacementKind.Forward, ...away }
    }
    if (isLocalTimely) return { kind: PlacementKind.Run, belief: local.belief, prediction: local.prediction }
    const wait = Math.min(local?.prediction.waitMilliseconds ?? Infinity, away?.milliseconds ?? Infinity)
    return {
      kind: PlacementKind.Refuse,
      reason: wait === Infinity ? 'no upstream of a permitted region takes work' : `the least wait is ${Math.round(wait)} ms`,
      retryAfterMilliseconds: Math.min(longestRetryAfterMilliseconds, Math.max(leastRetryAfterMilliseconds, wait === Infinity ? 0 : wait - latest))
    }
  }

  private bestLocal (query: PlacementQuery): Candidate | undefined {
    const { request } = query
    const { board, region, shapeOf } = this.options
    const shape = shapeOf(request.service)
    const usable = board.usable(request.service, region).filter(({ announced }) => !query.excluded.has(announced.id))
    const sound = usable.filter((belief) => !belief.isAvoided)
    let best: Candidate | undefined
    for (const belief of sound.length > 0 ? sound : usable) {
      if (!this.hasRoom(belief, shape)) continue
      const prediction = predict(belief, shape, request)
      const cost = prediction.milliseconds - this.homeAdvantage(belief, request) + this.options.random.next()
      if (best === undefined || cost < best.cost) best = { belief, prediction, cost }
    }
    return best
  }

  private hasRoom (belief: UpstreamBelief, shape: ServiceShape | undefined): boolean {
    if (shape === undefined) return true
    if (belief.ownInFlight >= this.options.connectionShare(shape)) return false
    return !belief.isCold || shape.coldRequestsPerSecond <= 0 || belief.sends.allows(this.options.coldSendsPerSecond(shape))
  }

  private homeAdvantage (belief: UpstreamBelief, { head }: AdmittedRequest): number {
    const [first] = head.parts
    if (first === undefined || first.tokens < longPartTokens) return 0
    return homeAdvantageMilliseconds * rendezvousScore(first.id, belief.announced.id)
  }

  private bestAway (query: PlacementQuery): { region: RegionId, milliseconds: number, workMilliseconds: number } | undefined {
    const { request } = query
    const { forecasts, reachableRegions, roundTripMilliseconds, shapeOf } = this.options
    const workMilliseconds = this.remoteWork(request, shapeOf(request.service))
    let best: { region: RegionId, milliseconds: number, workMilliseconds: number } | undefined
    for (const region of reachableRegions()) {
      if (request.regions?.has(region) === false || query.excludedRegions.has(region)) continue
      const forecast = forecasts.find(region, request.service)
      if (forecast !== undefined && forecast.upstreams === 0) continue
      const underway = forecasts.underwayTo(region, request.service) / Math.max(1, forecast?.freeSlots ?? 1)
      const milliseconds = roundTripMilliseconds(region) + (forecast?.waitMilliseconds ?? 0) + underway + workMilliseconds
      if (best === undefined || milliseconds < best.milliseconds) best = { region, milliseconds, workMilliseconds }
    }
    return best
  }

  private remoteWork ({ head }: AdmittedRequest, shape: ServiceShape | undefined): number {
    if (shape?.isEngine !== true) return plainRunMilliseconds
    const prompt = head.tokens?.prompt ?? 0
    const shared = head.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0)
    return prefillMilliseconds(prompt, Math.max(1, prompt - shared * remoteCachedShare))
  }
}
