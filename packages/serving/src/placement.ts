/**
 * Decides where a request goes: to an upstream of this VM's region, or to a VM
 * of another permitted region. If neither is suitable, the request is refused
 * with a time to retry.
 */

import { rendezvousScore } from '@cuminvale/common'
import { plainRunMilliseconds, predict, prefillMilliseconds } from './prediction.js'
import type { Clock, Random, RegionId, UpstreamId } from '@cuminvale/common'
import type { Prediction } from './prediction.js'
import type { RegionForecasts } from './regionForecasts.js'
import type { UpstreamBelief } from './upstreamBelief.js'
import type { UpstreamBoard } from './upstreamBoard.js'
import type { AdmittedRequest, PromptPart, ServiceName, ServiceShape } from './types.js'

export const PlacementKind = { Run: 'run', Forward: 'forward', Refuse: 'refuse' } as const

export type Placement =
  | { readonly kind: typeof PlacementKind.Run, readonly belief: UpstreamBelief, readonly prediction: Prediction }
  | { readonly kind: typeof PlacementKind.Forward, readonly region: RegionId, readonly milliseconds: number, readonly workMilliseconds: number }
  | { readonly kind: typeof PlacementKind.Refuse, readonly reason: string, readonly retryAfterMilliseconds: number }

export interface PlacementQuery {
  readonly request: AdmittedRequest
  readonly remainingMilliseconds: number
  /** Remaining time of the route's objective for this caller; negative if the request is already late. */
  readonly onTimeMilliseconds: number
  /** Whether this VM may forward the request to another region; false if another VM forwarded it here. */
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
  /** Other regions with at least one reachable VM. */
  readonly reachableRegions: () => readonly RegionId[]
  /** Requests per second that this VM may send to one cold upstream. */
  readonly coldSendsPerSecond: (shape: ServiceShape, upstream: UpstreamId) => number
  /** Connections that this VM may hold to one upstream. */
  readonly connectionShare: (shape: ServiceShape) => number
  readonly roundTripMilliseconds: (region: RegionId) => number
}

interface Candidate {
  readonly belief: UpstreamBelief
  readonly prediction: Prediction
  readonly cost: number
}

interface AwayCandidate {
  readonly region: RegionId
  readonly milliseconds: number
  readonly waitMilliseconds: number
  readonly workMilliseconds: number
  readonly cost: number
}

/** Gain below which a request stays in its region, since the other region's report is already old when it arrives. */
const awayMarginMilliseconds = 40
/** Share of the remaining time that may pass before an upstream starts the request; a later start misses the deadline. */
const latestStartShare = 0.8
/** Share of the objective that a request may wait even if its answer will be late. */
const lateWaitShare = 0.7
/** The same for a request that another VM forwarded here; sending it back costs another round trip. */
const forwardedWaitShare = 1
/** Largest advantage that rendezvous hashing gives an upstream for a shared part that it is not known to hold. */
const homeAdvantageMilliseconds = 30
/** Reading a shorter part again costs less than restricting the placement to where it is held. */
const longPartTokens = 1_000
/** Cost of reading a part again: it takes upstream time from all other requests, in addition to the request's own time. */
const rereadMilliseconds = 200
/** Wait assumed for a region without a forecast; high enough that it is chosen only if no other can serve. */
const unknownWaitMilliseconds = 400
/** A caller is asked to wait for no more than a third of its remaining time. */
const lateReturnShare = 0.33
/** Share of its objective that a request may use if more urgent requests share the upstreams. */
const urgencyShare = 0.7
const leastRetryAfterMilliseconds = 150
const longestRetryAfterMilliseconds = 2_000

export class PlacementChooser {
  constructor (private readonly options: PlacementOptions) {}

  choose (query: PlacementQuery): Placement {
    const { request } = query
    const { region, random } = this.options
    const mayRunHere = request.regions?.has(region) ?? true
    const local = mayRunHere ? this.bestLocal(query) : undefined
    const away = query.mayForward ? this.bestAway(query) : undefined
    const isLocalTaken = local !== undefined && this.isWorthStarting(query, local.prediction)
    const margin = awayMarginMilliseconds * (1 + random.next())
    if (away !== undefined && this.isWorthStarting(query, away) && (!isLocalTaken || away.cost + margin < local.cost)) {
      const { region: target, milliseconds, workMilliseconds } = away
      return { kind: PlacementKind.Forward, region: target, milliseconds, workMilliseconds }
    }
    if (isLocalTaken) return { kind: PlacementKind.Run, belief: local.belief, prediction: local.prediction }
    return this.refuse(query, Math.min(local?.prediction.waitMilliseconds ?? Infinity, away?.waitMilliseconds ?? Infinity))
  }

  /**
   * Whether a request should be started. In a long queue, requests that would
   * be late anyway make all others late too. In a short queue, a late answer
   * is better than none.
   */
  private isWorthStarting (query: PlacementQuery, { milliseconds, waitMilliseconds }: { milliseconds: number, waitMilliseconds: number }): boolean {
    if (waitMilliseconds > query.remainingMilliseconds * latestStartShare) return false
    const { route: { objectiveMilliseconds }, yields } = query.request
    // More urgent requests must not be refused while less urgent ones fill the same upstreams.
    const share = yields && query.mayForward ? urgencyShare : 1
    if (milliseconds <= query.onTimeMilliseconds * share) return true
    const lateWait = objectiveMilliseconds * (query.mayForward ? lateWaitShare * share : forwardedWaitShare)
    return waitMilliseconds <= Math.min(lateWait, query.remainingMilliseconds * latestStartShare)
  }

  private refuse (query: PlacementQuery, waitMilliseconds: number): Placement {
    const isServed = waitMilliseconds !== Infinity
    return {
      kind: PlacementKind.Refuse,
      reason: isServed ? `the least wait is ${Math.round(waitMilliseconds)} ms` : 'no upstream of a permitted region takes work',
      retryAfterMilliseconds: this.retryAfter(query, isServed ? waitMilliseconds : 0)
    }
  }

  /**
   * Milliseconds after which the caller should retry. The time is short if the
   * caller can still be on time. Otherwise it is as long as the remaining time
   * permits, since a later retry meets a shorter queue. It is randomized, so
   * that callers refused together do not return together.
   */
  private retryAfter (query: PlacementQuery, waitMilliseconds: number): number {
    const spread = this.options.random.next()
    const soon = leastRetryAfterMilliseconds * (1 + spread)
    const excess = waitMilliseconds - query.request.route.objectiveMilliseconds * lateWaitShare
    if (excess <= 0 || soon + excess < query.onTimeMilliseconds / 2) return soon
    const late = query.remainingMilliseconds * lateReturnShare * (1 - spread / 2)
    return Math.min(longestRetryAfterMilliseconds, Math.max(soon, late))
  }

  private bestLocal (query: PlacementQuery): Candidate | undefined {
    const { request } = query
    const { board, region, shapeOf } = this.options
    const shape = shapeOf(request.service)
    const usable = board.usable(request.service, region).filter(({ announced }) => !query.excluded.has(announced.id))
    const sound = usable.filter((belief) => !belief.isAvoided)
    const shared = longSharedPart(request)
    let best: Candidate | undefined
    for (const belief of sound.length > 0 ? sound : usable) {
      if (!this.hasRoom(belief, shape)) continue
      const prediction = predict(belief, shape, request)
      const placing = shared === undefined
        ? this.options.random.next()
        : belief.knowsPart(shared.id) ? 0 : rereadMilliseconds - homeAdvantageMilliseconds * rendezvousScore(shared.id, belief.announced.id)
      const cost = prediction.milliseconds + placing
      if (best === undefined || cost < best.cost) best = { belief, prediction, cost }
    }
    return best
  }

  private hasRoom (belief: UpstreamBelief, shape: ServiceShape | undefined): boolean {
    if (shape === undefined) return true
    if (belief.ownInFlight >= this.options.connectionShare(shape)) return false
    return !belief.isCold || shape.coldRequestsPerSecond <= 0 || belief.sends.allows(this.options.coldSendsPerSecond(shape, belief.announced.id))
  }

  private bestAway (query: PlacementQuery): AwayCandidate | undefined {
    const { request } = query
    const { forecasts, reachableRegions, roundTripMilliseconds, shapeOf } = this.options
    const shape = shapeOf(request.service)
    const shared = longSharedPart(request)
    let best: AwayCandidate | undefined
    for (const region of reachableRegions()) {
      if (request.regions?.has(region) === false || query.excludedRegions.has(region)) continue
      const forecast = forecasts.find(region, request.service)
      if (forecast !== undefined && forecast.upstreams === 0) continue
      const parallel = shape?.isEngine === true ? forecast?.upstreams : forecast?.freeSlots
      const underway = forecasts.underwayTo(region, request.service) / Math.max(1, parallel ?? 1)
      const workMilliseconds = this.remoteWork(request, region, shape)
      const wait = forecast?.waitMilliseconds ?? unknownWaitMilliseconds
      const waitMilliseconds = wait + underway
      const milliseconds = roundTripMilliseconds(region) + waitMilliseconds + workMilliseconds
      const cost = milliseconds + (shared === undefined || forecasts.holdsPart(region, shared.id) ? 0 : rereadMilliseconds)
      if (best === undefined || cost < best.cost) best = { region, milliseconds, waitMilliseconds, workMilliseconds, cost }
    }
    return best
  }

  private remoteWork ({ head }: AdmittedRequest, region: RegionId, shape: ServiceShape | undefined): number {
    if (shape?.isEngine !== true) return plainRunMilliseconds
    const prompt = head.tokens?.prompt ?? 0
    let held = 0
    for (const { id, tokens } of head.parts) {
      if (!this.options.forecasts.holdsPart(region, id)) break
      held += tokens
    }
    return prefillMilliseconds(prompt, Math.max(1, prompt - held))
  }
}

/** The first of several prompt parts, if it is long enough to place requests by it. */
const longSharedPart = ({ head }: AdmittedRequest): PromptPart | undefined => {
  const [first, ...others] = head.parts
  return first !== undefined && others.length > 0 && first.tokens >= longPartTokens ? first : undefined
}
