/**
 * Decides where a request goes: to an upstream of this VM's region, or to a VM
 * of another permitted region. If neither is suitable, the request is refused
 * with a time to retry.
 */

import { millisecondsPerSecond, rendezvousScore } from '@cuminvale/common'
import { PlacementAdmission, limitSpreadShare, maximumRetryAfterMilliseconds, maximumRetryWaitShare, minimumRetryAfterMilliseconds } from './placementAdmission.js'
import { plainServiceRunMilliseconds, predict, prefillMilliseconds, prefillTokensPerMillisecond } from './prediction.js'
import { RequestKind } from './types.js'
import type { Clock, Random, RegionId, UpstreamId } from '@cuminvale/common'
import type { BrittleSharing } from './brittleGuard.js'
import type { Prediction } from './prediction.js'
import type { RegionForecasts } from './regionForecasts.js'
import type { RefusalCause, RoomAllocator } from './roomAllocator.js'
import type { UpstreamState } from './upstreamState.js'
import type { UpstreamTable } from './upstreamTable.js'
import type { AdmittedRequest, PromptPart, ServiceName, Service, SoftwareVersion } from './types.js'

export const PlacementKind = { Run: 'run', Forward: 'forward', Refuse: 'refuse' } as const

/**
 * `milliseconds` is the predicted time to the first event of an engine, or to the whole answer of a plain service.
 * `isPaused`: all upstreams of this region want no request, or no more than they got, for a time, after which the first of them takes some again.
 */
export type Placement =
  | { readonly kind: typeof PlacementKind.Run, readonly upstream: UpstreamState, readonly prediction: Prediction }
  | { readonly kind: typeof PlacementKind.Forward, readonly region: RegionId, readonly milliseconds: number, readonly workMilliseconds: number }
  | { readonly kind: typeof PlacementKind.Refuse, readonly reason: string, readonly retryAfterMilliseconds: number, readonly isPaused: boolean, readonly cause?: RefusalCause | undefined }

export interface PlacementQuery {
  readonly request: AdmittedRequest
  /** Time until the request's deadline. */
  readonly remainingMilliseconds: number
  /** Remaining time of the route's objective for this caller; negative if the request is already late. */
  readonly objectiveRemainingMilliseconds: number
  /** Whether this VM may forward the request to another region; false if another VM forwarded it here. */
  readonly mayForward: boolean
  /** Upstreams that must not be chosen. */
  readonly excludedUpstreams: ReadonlySet<UpstreamId>
  /** Regions that the request must not be forwarded to; this VM's own among them, if not to its neighbours. */
  readonly excludedRegions: ReadonlySet<RegionId>
  /** Software version that the upstream must run, if the request goes on with a stream; undefined if any will do. */
  readonly softwareVersion?: SoftwareVersion | undefined
}

export interface PlacementOptions {
  readonly clock: Clock
  readonly random: Random
  readonly region: RegionId
  readonly upstreams: UpstreamTable
  readonly forecasts: RegionForecasts
  readonly findService: (service: ServiceName) => Service | undefined
  /** Software version that an upstream runs now; undefined if it may have started anew since its announcement. */
  readonly softwareVersionOf: (upstream: UpstreamState) => SoftwareVersion | undefined
  /** Whether streams that callers may take up must not begin at an upstream, since its software version is new. */
  readonly isHeldDown?: (upstream: UpstreamState) => boolean
  /** Other regions with at least one reachable VM. */
  readonly reachableRegions: () => readonly RegionId[]
  /** Whether other VMs of this region reach an upstream. */
  readonly isReachedByNeighbours: (upstream: UpstreamState) => boolean
  /** Whether one more request keeps to the rate of an upstream that is cold or may be. */
  readonly allowsStart: (service: Service, upstream: UpstreamState) => boolean
  /** How the VMs of this region share a brittle upstream. */
  readonly brittleSharing: (upstream: UpstreamId) => BrittleSharing
  /** Connections that this VM may hold to one upstream. */
  readonly connectionLimit: (service: Service) => number
  readonly roundTripMilliseconds: (region: RegionId) => number
  /** Admission control while capacity is short; without it, requests are admitted by their own wait alone. */
  readonly admission?: RoomAllocator | undefined
}

interface Candidate {
  readonly upstream: UpstreamState
  readonly prediction: Prediction
  /** Milliseconds: the predicted time plus penalties. */
  readonly cost: number
  /** Whether the upstream failed often, and is tried only if no other region can serve. */
  readonly isLastResort: boolean
}

interface RemoteCandidate {
  readonly region: RegionId
  readonly milliseconds: number
  readonly waitMilliseconds: number
  readonly workMilliseconds: number
  /** Milliseconds: the predicted time plus penalties. */
  readonly cost: number
}

/**
 * Least gain for which a request is forwarded; each placement uses 1 to 2 times
 * this value. The forecast of the other region is already old when its report arrives.
 */
const remoteMarginMilliseconds = 40
/** Cost of a forward within the region. */
const neighbourHopMilliseconds = 5
/** Share of the remaining time that may pass before an upstream starts the request; a later start misses the deadline. */
const latestStartShare = 0.8
/** Share of the objective that a request may wait even if its answer will be late. */
const lateWaitShare = 0.7
/** The same for a request that another VM forwarded here; sending it back costs another round trip. */
const forwardedWaitShare = 1
/** Reading a shorter part again costs less than restricting the placement to where it is held. */
const minimumSharedPartTokens = 1_000
/**
 * Cost of a shared token that an upstream has to read again. Several times the
 * time that reading takes: it delays all other requests there, and each copy of a
 * part displaces others, which are then read again elsewhere.
 */
const rereadMillisecondsPerToken = 0.12
/**
 * Shares of that cost that are waived for the homes of a part, by rank, so that
 * VMs whose reports have not crossed yet choose alike. With one home, the callers
 * of a part would wait for each other while other upstreams are idle.
 */
const homeAdvantageShares = [0.8, 0.7] as const
/** Mean wait at the upstreams, as a share of the objective, up to which a request whose preferred upstream is too busy is placed where it is answered first. */
const unsaturatedWaitShare = 0.25
/**
 * Random cost per neighbour, so that VMs that choose by the same old reports
 * don't all choose the same upstream, and its upper bound.
 */
const jitterPerNeighbourMilliseconds = 2
const maximumJitterMilliseconds = 50
/** Wait assumed for a region without a forecast; high enough that it is chosen only if no other can serve. */
const assumedWaitMilliseconds = 400
/** Share of its objective that a request may use if more urgent requests share the upstreams. */
const yieldingObjectiveShare = 0.7

export class PlacementChooser {
  private readonly admission: PlacementAdmission

  constructor (private readonly options: PlacementOptions) {
    this.admission = new PlacementAdmission({ clock: options.clock, random: options.random, allocator: options.admission })
  }

  choose (query: PlacementQuery): Placement {
    const { request } = query
    const { region, random } = this.options
    const mayRunHere = request.regions?.has(region) ?? true
    const usable = mayRunHere ? this.options.upstreams.usable(request.service, region) : []
    const local = this.bestLocal(query, usable)
    const remote = query.mayForward ? this.better(query, this.bestRemote(query), this.bestByNeighbour(query, usable)) : undefined
    const shouldRunLocally = local !== undefined && this.shouldStart(query, local.prediction)
    const remoteMargin = remoteMarginMilliseconds * (1 + random.next())
    const mustLeave = local?.isLastResort === true
    const mayRunRemotely = remote !== undefined && (this.shouldStart(query, remote) || (mustLeave && this.isInTime(query, remote)))
    if (mayRunRemotely && (!shouldRunLocally || mustLeave || remote.cost + remoteMargin < local.cost)) return this.forward(query, remote, local)
    const leastWait = Math.min(local?.prediction.waitMilliseconds ?? Infinity, remote?.waitMilliseconds ?? Infinity)
    if (local === undefined) {
      this.recordUnserved(query, local)
      return this.refuse(query, leastWait)
    }
    const { prediction } = local
    const service = this.options.findService(request.service)
    const cause = this.admission.refusalOf(query, {
      prediction,
      shouldStart: shouldRunLocally,
      isInTime: this.isInTime(query, prediction),
      hasIdleUpstream: () => usable.some((upstream) => this.isIdle(upstream, query, service))
    })
    if (cause === undefined) {
      this.recordStarted(query, local)
      return { kind: PlacementKind.Run, upstream: local.upstream, prediction }
    }
    if (shouldRunLocally && mayRunRemotely) return this.forward(query, remote, local)
    this.recordUnserved(query, local)
    return this.refuse(query, leastWait, cause)
  }

  /** Whether an upstream that the request may use has a free slot and a short queue. */
  private isIdle (upstream: UpstreamState, query: PlacementQuery, service: Service | undefined): boolean {
    if (query.excludedUpstreams.has(upstream.announced.id) || !upstream.isHealthy || !this.hasCapacity(upstream, service)) return false
    const shortWait = query.request.route.objectiveMilliseconds * unsaturatedWaitShare
    return upstream.occupancy < upstream.announced.slots && predict(upstream, service, query.request).waitMilliseconds < shortWait
  }

  private forward (query: PlacementQuery, { region, milliseconds, workMilliseconds }: RemoteCandidate, local: Candidate | undefined): Placement {
    // What is forwarded remains a need of the region while it is served elsewhere.
    if (region !== this.options.region) this.recordUnserved(query, local)
    return { kind: PlacementKind.Forward, region, milliseconds, workMilliseconds }
  }

  /** The cheaper of those that would start the request in time. */
  private better (query: PlacementQuery, first: RemoteCandidate | undefined, second: RemoteCandidate | undefined): RemoteCandidate | undefined {
    if (first === undefined || second === undefined) return first ?? second
    const isFirstStarted = this.shouldStart(query, first)
    if (isFirstStarted !== this.shouldStart(query, second)) return isFirstStarted ? first : second
    return second.cost < first.cost ? second : first
  }

  private recordStarted (query: PlacementQuery, { prediction: { unreadTokens, waitMilliseconds } }: Candidate): void {
    const { request, mayForward } = query
    const { demand } = this.options.forecasts
    const workMilliseconds = this.workMilliseconds(request, unreadTokens)
    demand.started(request.service, workMilliseconds, { isForwardedHere: !mayForward })
    if (this.mayLeave(query)) demand.waited(request.service, workMilliseconds, { waitMilliseconds, objectiveMilliseconds: request.route.objectiveMilliseconds })
  }

  private recordUnserved (query: PlacementQuery, local: Candidate | undefined): void {
    if (!this.mayLeave(query)) return
    const { request, request: { service, head } } = query
    this.options.forecasts.demand.unserved(service, this.workMilliseconds(request, local?.prediction.unreadTokens ?? head.tokens?.prompt ?? 1))
  }

  private mayLeave ({ request: { regions }, mayForward }: PlacementQuery): boolean {
    const { region } = this.options
    return mayForward && (regions === undefined || regions.size > (regions.has(region) ? 1 : 0))
  }

  /**
   * Whether a request should be started. In a long queue, requests that would
   * be late anyway make all others late too. In a short queue, a late answer
   * is better than none.
   */
  private shouldStart (query: PlacementQuery, { milliseconds, waitMilliseconds }: { milliseconds: number, waitMilliseconds: number }): boolean {
    if (!this.isInTime(query, { milliseconds, waitMilliseconds })) return false
    // Its caller has the first part of the answer already, which another request would have to make again.
    if (query.softwareVersion !== undefined) return true
    const { route: { objectiveMilliseconds }, yieldsToMoreUrgent } = query.request
    // More urgent requests must not be refused while less urgent ones fill the same upstreams, those of other regions among them.
    const objectiveShare = yieldsToMoreUrgent ? yieldingObjectiveShare : 1
    if (milliseconds <= query.objectiveRemainingMilliseconds * objectiveShare) return true
    const maximumLateWait = objectiveMilliseconds * (query.mayForward ? lateWaitShare : forwardedWaitShare) * objectiveShare
    return waitMilliseconds <= Math.min(maximumLateWait, query.remainingMilliseconds * latestStartShare)
  }

  /**
   * Whether the answer would come before the deadline. At an upstream without a
   * queue, a request is started even if its predicted time is too long, since
   * nothing else needs the capacity and the prediction may be wrong.
   */
  private isInTime ({ request, remainingMilliseconds }: PlacementQuery, { milliseconds, waitMilliseconds }: { milliseconds: number, waitMilliseconds: number }): boolean {
    if (waitMilliseconds > remainingMilliseconds * latestStartShare) return false
    return milliseconds <= remainingMilliseconds || waitMilliseconds <= request.route.objectiveMilliseconds * unsaturatedWaitShare
  }

  private refuse (query: PlacementQuery, waitMilliseconds: number, cause?: RefusalCause): Placement {
    const hasCandidate = waitMilliseconds !== Infinity
    const { upstreams, region } = this.options
    const usedUpMilliseconds = hasCandidate ? 0 : upstreams.usedUpMilliseconds(query.request.service, region)
    if (usedUpMilliseconds > 0) {
      return {
        kind: PlacementKind.Refuse,
        reason: 'the limits of the upstreams are used up',
        retryAfterMilliseconds: this.nextReturn(query, usedUpMilliseconds),
        isPaused: true
      }
    }
    const pauseMilliseconds = hasCandidate ? 0 : upstreams.pauseMilliseconds(query.request.service, region)
    if (pauseMilliseconds > 0) {
      return {
        kind: PlacementKind.Refuse,
        reason: `all upstreams want no request for ${Math.round(pauseMilliseconds)} ms`,
        retryAfterMilliseconds: pauseMilliseconds + minimumRetryAfterMilliseconds * this.options.random.next(),
        isPaused: true
      }
    }
    return {
      kind: PlacementKind.Refuse,
      isPaused: false,
      cause,
      reason: hasCandidate ? `the least wait is ${Math.round(waitMilliseconds)} ms` : 'no upstream of a permitted region takes work',
      retryAfterMilliseconds: this.retryAfter(query, hasCandidate ? waitMilliseconds : 0)
    }
  }

  /**
   * Milliseconds after which the caller should retry. The time is short if no
   * upstream takes work, if the wait is within the late-wait share, or if a
   * retry can still meet the objective. Otherwise it is 17 to 33 % of the
   * remaining time, at most 2 s, since a later retry meets a shorter queue. It
   * is randomized, so that callers refused together do not return together. While
   * admission control knows the rate of starts, callers return at that rate instead.
   */
  private retryAfter (query: PlacementQuery, waitMilliseconds: number): number {
    const scheduled = this.admission.nextReturn(query)
    if (scheduled !== undefined) return scheduled
    const jitter = this.options.random.next()
    const earliest = minimumRetryAfterMilliseconds * (1 + jitter)
    const excessWait = waitMilliseconds - query.request.route.objectiveMilliseconds * lateWaitShare
    if (excessWait <= 0 || earliest + excessWait < query.objectiveRemainingMilliseconds / 2) return earliest
    const latest = query.remainingMilliseconds * maximumRetryWaitShare * (1 - jitter / 2)
    return Math.min(maximumRetryAfterMilliseconds, Math.max(earliest, latest))
  }

  /** Callers that are refused for a limit return one by one, in their order, as far as that is soon enough for them. */
  private nextReturn (query: PlacementQuery, usedUpMilliseconds: number): number {
    const { upstreams, region } = this.options
    const { service } = query.request
    const perSecond = upstreams.usable(service, region).reduce((sum, { sendLimit }) => sum + (sendLimit.perSecond ?? 0), 0)
    const intervalMilliseconds = (upstreams.neighbourCount + 1) * millisecondsPerSecond / Math.max(1, perSecond)
    return this.admission.takeReturn(query, { intervalMilliseconds, freeInMilliseconds: usedUpMilliseconds, spreadShare: limitSpreadShare })
  }

  private bestLocal (query: PlacementQuery, upstreamsHere: readonly UpstreamState[]): Candidate | undefined {
    const { request } = query
    const { upstreams, findService, random } = this.options
    const service = findService(request.service)
    const usable = upstreamsHere.filter((upstream) => !query.excludedUpstreams.has(upstream.announced.id) && this.canGoOnAt(upstream, query))
    // A trial may cost the request its time, which one that another VM sent here has less of.
    const healthy = usable.filter(({ isHealthy, mayBeTried }) => isHealthy || (query.mayForward && mayBeTried))
    // A request that another VM sent here because it reaches none is refused at once, if this VM doesn't either.
    const mustTry = healthy.length === 0 && !usable.some((upstream) => this.options.isReachedByNeighbours(upstream))
    const candidates = (mustTry ? usable.filter(({ unreachedSince, needsTrial, mayBeTried }) => unreachedSince === undefined && (!needsTrial || mayBeTried)) : healthy).filter((upstream) => this.hasCapacity(upstream, service))
    const shared = sharedParts(request)
    const homes = homesOf(shared, candidates)
    // The random cost also breaks ties, so it is never quite zero.
    const jitterMilliseconds = service?.isEngine === true ? Math.min(maximumJitterMilliseconds, 1 + jitterPerNeighbourMilliseconds * upstreams.neighbourCount) : 1
    let best: Candidate | undefined
    let quickest: Candidate | undefined
    let pendingTokens = 0
    for (const upstream of candidates) {
      const prediction = predict(upstream, service, request)
      const rereadMilliseconds = upstream.unreadPartTokens(shared) * rereadMillisecondsPerToken
      const homeAdvantage = rereadMilliseconds * (homes.get(upstream) ?? 0)
      const cost = prediction.milliseconds + rereadMilliseconds - homeAdvantage + random.next() * jitterMilliseconds
      if (best === undefined || cost < best.cost) best = { upstream, prediction, cost, isLastResort: mustTry }
      if (quickest === undefined || prediction.milliseconds < quickest.prediction.milliseconds) quickest = { upstream, prediction, cost, isLastResort: mustTry }
      pendingTokens += upstream.reportedPendingTokens
    }
    if (best === undefined || this.shouldStart(query, best.prediction)) return best
    // Reading parts again elsewhere serves this caller, and while all upstreams are busy makes more others late.
    const meanWaitMilliseconds = pendingTokens / candidates.length / prefillTokensPerMillisecond(upstreams.performanceOf(request.service))
    return meanWaitMilliseconds <= request.route.objectiveMilliseconds * unsaturatedWaitShare ? quickest : best
  }

  private canGoOnAt (upstream: UpstreamState, query: PlacementQuery): boolean {
    const { softwareVersion } = query
    return softwareVersion === undefined ? this.mayBeginAt(upstream, query) : this.options.softwareVersionOf(upstream) === softwareVersion
  }

  private mayBeginAt (upstream: UpstreamState, { request: { route: { kind, isResumable } } }: PlacementQuery): boolean {
    return kind !== RequestKind.Stream || !isResumable || this.options.isHeldDown?.(upstream) !== true
  }

  private hasCapacity (upstream: UpstreamState, service: Service | undefined): boolean {
    if (!upstream.sendLimit.allows || (upstream.brittle.isBrittle && !upstream.allowsBrittle(this.options.brittleSharing(upstream.announced.id)))) return false
    if (service === undefined) return true
    if (!upstream.hasQueuePlace) return false
    if (upstream.ownInFlight >= this.options.connectionLimit(service)) return false
    return this.options.allowsStart(service, upstream)
  }

  /** The cheapest region whose share is not used up, of those that would start the request in time if there are any. */
  private bestRemote (query: PlacementQuery): RemoteCandidate | undefined {
    const { request } = query
    const { forecasts, reachableRegions, roundTripMilliseconds, findService, upstreams, random } = this.options
    const service = findService(request.service)
    const sharedPart = longSharedPart(request)
    const mustLeave = request.regions?.has(this.options.region) === false || query.softwareVersion !== undefined
    let best: RemoteCandidate | undefined
    let isBestStarted = false
    for (const region of reachableRegions()) {
      if (request.regions?.has(region) === false || query.excludedRegions.has(region)) continue
      if (query.softwareVersion !== undefined && !upstreams.hasVersion(request.service, region, query.softwareVersion)) continue
      const forecast = forecasts.find(region, request.service)
      if (forecast !== undefined && forecast.upstreams === 0) continue
      const parallelism = service?.isEngine === true ? forecast?.upstreams : forecast?.freeSlots
      const unreportedWaitMilliseconds = forecasts.unreportedWorkMilliseconds(region, request.service) / Math.max(1, parallelism ?? 1)
      const unreadTokens = this.remoteUnreadTokens(request, region)
      const workMilliseconds = this.workMilliseconds(request, unreadTokens)
      const forecastWait = forecast?.waitMilliseconds ?? assumedWaitMilliseconds
      const waitMilliseconds = forecastWait + unreportedWaitMilliseconds
      const milliseconds = roundTripMilliseconds(region) + waitMilliseconds + this.runMilliseconds(request, unreadTokens)
      // The other region would read the part at one of its homes there, at the same cost as at a home here.
      const rereadTokens = sharedPart === undefined || forecasts.holdsPart(region, sharedPart.id) ? 0 : sharedPart.tokens
      // A request that only other regions may run, or that goes on with a stream, can't be served here instead.
      if (!mustLeave && !forecasts.shares.allows(region, request.service, { isLongPrompt: rereadTokens > 0 })) continue
      // All VMs have the same reports, so that without a random part they would all use their shares of the same region first.
      const jitterMilliseconds = forecasts.shares.perSecond(region, request.service) === undefined ? 0 : random.next() * maximumJitterMilliseconds
      const cost = milliseconds + rereadTokens * rereadMillisecondsPerToken * (1 - homeAdvantageShares[0]) + jitterMilliseconds
      const isStarted = this.shouldStart(query, { milliseconds, waitMilliseconds })
      if (best !== undefined && (isStarted === isBestStarted ? cost >= best.cost : isBestStarted)) continue
      best = { region, milliseconds, waitMilliseconds, workMilliseconds, cost }
      isBestStarted = isStarted
    }
    return best
  }

  /** The neighbours of this VM as a target, if they reach upstreams that this VM doesn't, and more than it reaches itself. */
  private bestByNeighbour (query: PlacementQuery, upstreamsHere: readonly UpstreamState[]): RemoteCandidate | undefined {
    const { request } = query
    const { region, findService, isReachedByNeighbours } = this.options
    if (query.excludedRegions.has(region) || upstreamsHere.every(({ isHealthy }) => isHealthy)) return undefined
    // One that has had the request and failed isn't asked again by way of another VM.
    const hadRequest = ({ announced: { id }, unreachedSince }: UpstreamState): boolean => unreachedSince === undefined && query.excludedUpstreams.has(id)
    const usable = upstreamsHere.filter((upstream) => !hadRequest(upstream) && this.canGoOnBehind(upstream, query))
    const elsewhere = usable.filter((upstream) => !upstream.isHealthy && isReachedByNeighbours(upstream))
    if (elsewhere.length <= usable.filter(({ isHealthy }) => isHealthy).length) return undefined
    const service = findService(request.service)
    let best: RemoteCandidate | undefined
    for (const upstream of elsewhere) {
      const { milliseconds, waitMilliseconds } = predict(upstream, service, request)
      if (best === undefined || milliseconds < best.milliseconds) best = { region, milliseconds, waitMilliseconds, workMilliseconds: milliseconds - waitMilliseconds, cost: milliseconds + neighbourHopMilliseconds }
    }
    return best
  }

  /** Another VM decides whether the upstream is still the start that was announced. */
  private canGoOnBehind (upstream: UpstreamState, query: PlacementQuery): boolean {
    const { softwareVersion } = query
    return softwareVersion === undefined ? this.mayBeginAt(upstream, query) : upstream.announced.softwareVersion === softwareVersion
  }

  /** Milliseconds of an upstream's time that a request takes: a request of an engine uses it while its prompt is read, and a part of it while it holds a slot. */
  private workMilliseconds ({ head, service: name }: AdmittedRequest, unreadTokens: number): number {
    const performance = this.options.upstreams.performanceOf(name)
    const service = this.options.findService(name)
    if (service?.isEngine !== true) return plainServiceRunMilliseconds(performance)
    const readingMilliseconds = prefillMilliseconds(performance, head.tokens?.prompt ?? 0, Math.max(1, unreadTokens))
    const slotMilliseconds = readingMilliseconds + performance.fixedMilliseconds + performance.outputMilliseconds(head.tokens)
    return Math.max(readingMilliseconds, slotMilliseconds / Math.max(1, service.slots))
  }

  /** Time from the start of a request to its first answer at an upstream of the service. */
  private runMilliseconds ({ head, service }: AdmittedRequest, unreadTokens: number): number {
    const performance = this.options.upstreams.performanceOf(service)
    const readingMilliseconds = this.options.findService(service)?.isEngine === true ? prefillMilliseconds(performance, head.tokens?.prompt ?? 0, unreadTokens) : 0
    return readingMilliseconds + performance.fixedMilliseconds
  }

  /** Tokens that an upstream of another region would read. */
  private remoteUnreadTokens ({ head }: AdmittedRequest, region: RegionId): number {
    const prompt = head.tokens?.prompt ?? 0
    let cachedTokens = 0
    for (const { id, tokens } of head.parts) {
      if (!this.options.forecasts.holdsPart(region, id)) break
      cachedTokens += tokens
    }
    return Math.max(1, prompt - cachedTokens)
  }
}

/** The prompt parts that other requests share, if they are long enough to place requests by them. The last part is the request's own. */
const sharedParts = ({ head }: AdmittedRequest): readonly PromptPart[] => {
  const shared = head.parts.slice(0, -1)
  return shared.some(({ tokens }) => tokens >= minimumSharedPartTokens) ? shared : []
}

/** The last long one of the shared parts: the parts before it are shared by at least as many requests. */
const longSharedPart = (request: AdmittedRequest): PromptPart | undefined => sharedParts(request).findLast(({ tokens }) => tokens >= minimumSharedPartTokens)

/** The upstreams that all VMs prefer for the shared parts while none is known to hold them, with the share of the cost that is waived. */
const homesOf = (shared: readonly PromptPart[], candidates: readonly UpstreamState[]): ReadonlyMap<UpstreamState, number> => {
  const part = shared.findLast(({ tokens }) => tokens >= minimumSharedPartTokens)
  if (part === undefined) return new Map()
  const scored = candidates.map((upstream) => ({ upstream, score: rendezvousScore(part.id, upstream.announced.id) }))
  scored.sort((first, second) => second.score - first.score)
  return new Map(homeAdvantageShares.flatMap((share, rank) => {
    const home = scored[rank]
    return home === undefined ? [] : [[home.upstream, share] as const]
  }))
}
