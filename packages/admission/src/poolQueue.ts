/**
 * Weighted fair queue of one pool of upstreams. Each team has a virtual time:
 * the tokens dispatched for it divided by its weight. The team with the lowest
 * virtual time is served next. Interactive requests get a head start of a
 * bounded number of tokens, so that they wait briefly but cannot starve another
 * team's batch requests. A batch request that has aged gets the same head start.
 */

import { assertInvariant } from '@cuminvale/common'
import type { Clock, TeamId } from '@cuminvale/common'
import { maximumHeadsTried } from './constants.js'
import { DispatchRate } from './dispatchRate.js'
import { IndexedHeap } from './indexedHeap.js'
import { TeamBacklog } from './teamBacklog.js'
import type { QueuedRequest } from './types.js'

export interface PoolQueueOptions {
  readonly clock: Clock
  readonly interactiveHeadStartTokens: number
  readonly agingMilliseconds: number
}

export class PoolQueue<Request extends QueuedRequest> {
  readonly dispatchRate: DispatchRate
  private readonly teams = new Map<TeamId, TeamBacklog<Request>>()
  /** Teams with waiting requests, ordered by virtual time less the head start. */
  private readonly ready = new IndexedHeap<TeamBacklog<Request>>()
  /** Teams with batch requests that have not aged, ordered by the oldest one. */
  private readonly aging = new IndexedHeap<TeamBacklog<Request>>()
  /** Lowest virtual time that a team gets when it becomes active; never decreases. */
  private poolVirtualTime = 0
  private waitingCount = 0
  private waitingTokens = 0
  private activeWeight = 0

  constructor (private readonly options: PoolQueueOptions) {
    this.dispatchRate = new DispatchRate(options.clock)
  }

  get length (): number {
    return this.waitingCount
  }

  /** Whether the next request is interactive or has aged. */
  get isUrgent (): boolean {
    return this.ready.peek()?.isUrgent === true
  }

  waitingSince (team: TeamId): number | undefined {
    const backlog = this.teams.get(team)
    return backlog === undefined || backlog.size === 0 ? undefined : backlog.waitingSince
  }

  add (request: Request): void {
    if (this.waitingCount === 0) this.dispatchRate.start()
    const backlog = this.backlogOf(request.team)
    if (backlog.size === 0) this.activate(backlog, request.weight)
    backlog.add(request)
    this.waitingCount += 1
    this.waitingTokens += request.cost
    this.reindex(backlog)
  }

  delete (request: Request): void {
    const backlog = this.teams.get(request.team)
    if (backlog === undefined || !backlog.delete(request)) return
    this.waitingCount -= 1
    this.waitingTokens -= request.cost
    if (backlog.size === 0) this.deactivate(backlog)
    this.reindex(backlog)
  }

  /** Removes and returns the first dispatchable request among the first requests of the next few teams. */
  take (canDispatch: (request: Request) => boolean): Request | undefined {
    this.promoteAged()
    const minimumKey = this.ready.peekKey() ?? 0
    const blocked: Array<TeamBacklog<Request>> = []
    let taken: Request | undefined
    while (taken === undefined && blocked.length < maximumHeadsTried) {
      const backlog = this.ready.peek()
      const head = backlog?.head()
      if (backlog === undefined || head === undefined) break
      if (canDispatch(head)) {
        taken = head
        this.dispatch(backlog, head, minimumKey)
      } else {
        blocked.push(backlog)
        this.ready.remove(backlog)
      }
    }
    blocked.forEach((backlog) => this.reindex(backlog))
    return taken
  }

  /** Expected milliseconds until all waiting requests are dispatched, at the rate observed so far. */
  expectedDrainMilliseconds (): number {
    return this.waitingCount === 0 ? 0 : this.dispatchRate.roughMillisecondsFor(this.waitingTokens)
  }

  /** Expected milliseconds until a new request is dispatched, at its team's fair share of the measured rate. */
  expectedWaitMilliseconds (request: Request): number | undefined {
    const backlog = this.teams.get(request.team)
    const isActive = backlog !== undefined && backlog.size > 0
    const totalWeight = this.activeWeight + (isActive ? 0 : request.weight)
    const tokensAhead = (backlog?.tokens ?? 0) * totalWeight / request.weight
    return this.dispatchRate.millisecondsFor(Math.min(tokensAhead, this.waitingTokens))
  }

  /** `minimumKey` is the smallest key of the pool, which may be that of a blocked team. */
  private dispatch (backlog: TeamBacklog<Request>, request: Request, minimumKey: number): void {
    const before = this.poolVirtualTime
    this.poolVirtualTime = Math.max(before, minimumKey)
    backlog.virtualTime += request.cost / request.weight
    assertInvariant(this.poolVirtualTime >= before && backlog.virtualTime >= this.poolVirtualTime, 'fair-queue-time',
      () => `team ${request.team} at ${backlog.virtualTime} behind the pool at ${this.poolVirtualTime}`)
    this.dispatchRate.recordDispatch(request.cost)
    this.delete(request)
  }

  private keyOf (backlog: TeamBacklog<Request>): number {
    return backlog.virtualTime - (backlog.isUrgent ? this.options.interactiveHeadStartTokens : 0)
  }

  /** An idle team gains no credit for the idle time, but is still charged for what it used ahead of other teams. */
  private activate (backlog: TeamBacklog<Request>, weight: number): void {
    backlog.virtualTime = Math.max(backlog.virtualTime, this.poolVirtualTime)
    backlog.weight = weight
    backlog.waitingSince = this.options.clock.monotonic()
    this.activeWeight += weight
  }

  private deactivate (backlog: TeamBacklog<Request>): void {
    this.activeWeight -= backlog.weight
    if (backlog.virtualTime <= this.poolVirtualTime) this.teams.delete(backlog.team)
  }

  private backlogOf (team: TeamId): TeamBacklog<Request> {
    const existing = this.teams.get(team)
    if (existing !== undefined) return existing
    const created = new TeamBacklog<Request>(team, this.options.agingMilliseconds)
    this.teams.set(team, created)
    return created
  }

  private reindex (backlog: TeamBacklog<Request>): void {
    if (backlog.size === 0) this.ready.remove(backlog)
    else this.ready.set(backlog, this.keyOf(backlog))
    const batch = backlog.isBatchPromoted ? undefined : backlog.oldestBatch()
    if (batch === undefined) this.aging.remove(backlog)
    else this.aging.set(backlog, batch.enqueuedAt)
  }

  private promoteAged (): void {
    const agedBefore = this.options.clock.monotonic() - this.options.agingMilliseconds
    for (;;) {
      const oldestEnqueuedAt = this.aging.peekKey()
      const backlog = this.aging.peek()
      if (oldestEnqueuedAt === undefined || backlog === undefined || oldestEnqueuedAt > agedBefore) return
      backlog.isBatchPromoted = true
      this.reindex(backlog)
    }
  }
}
