/**
 * Admission queue of a VM: a fair queue for each pool of upstreams, with common
 * bounds. When full, it sheds the newest request of the team with the most
 * queued tokens relative to its weight. A request whose deadline cannot be met
 * is refused at once, with a time after which to retry.
 */

import { RefusalReason, assertInvariant, refuse } from '@cuminvale/common'
import type { Clock, Refusal, RequestId, TeamId } from '@cuminvale/common'
import { poolPruningThreshold, maximumRetryAfterMilliseconds, minimumRetryAfterMilliseconds } from './constants.js'
import { IndexedHeap } from './indexedHeap.js'
import { PoolQueue } from './poolQueue.js'
import { TeamLoads } from './teamLoads.js'
import type { AdmissionQueue, QueuedRequest, ShedRequest } from './types.js'

export interface FairQueueOptions {
  readonly clock: Clock
  readonly capacityRequests: number
  readonly capacityTokens: number
  /** Largest share of either capacity that one team may use. */
  readonly teamShare: number
  /** Head start of interactive over batch requests, in tokens of a team of weight 1. */
  readonly interactiveHeadStartTokens: number
  /** Waiting time after which a batch request counts as interactive. */
  readonly agingMilliseconds: number
  /** A request is refused at once if its expected wait exceeds its remaining time multiplied by this factor. */
  readonly deadlineSlack: number
}

const clampRetryAfter = (milliseconds: number): number =>
  Math.round(Math.min(maximumRetryAfterMilliseconds, Math.max(minimumRetryAfterMilliseconds, milliseconds)))

export class FairQueue<Request extends QueuedRequest> implements AdmissionQueue<Request> {
  private readonly pools = new Map<string, PoolQueue<Request>>()
  private readonly requests = new Map<RequestId, Request>()
  private readonly deadlines = new IndexedHeap<Request>()
  private readonly teams = new TeamLoads<Request>()
  private tokens = 0

  constructor (private readonly options: FairQueueOptions) {}

  get length (): number {
    return this.requests.size
  }

  waitingCount (pool: string): number {
    return this.pools.get(pool)?.length ?? 0
  }

  waitingSince (pool: string, team: TeamId): number | undefined {
    return this.pools.get(pool)?.waitingSince(team)
  }

  expectedWaitMilliseconds (pool: string): number {
    return this.pools.get(pool)?.expectedDrainMilliseconds() ?? 0
  }

  enqueue (request: Request): ReadonlyArray<ShedRequest<Request>> {
    const pool = this.poolOf(request.pool)
    const expectedWait = pool.expectedWaitMilliseconds(request) ?? 0
    const refusal = this.refusalFor(request, expectedWait)
    if (refusal !== undefined) return [{ request, refusal }]
    this.add(request, pool)
    return this.shedOverflow()
  }

  dequeue (canDispatch: (request: Request) => boolean): Request | undefined {
    for (const [name, pool] of this.poolsInServingOrder()) {
      const taken = pool.take(canDispatch)
      if (taken === undefined) continue
      this.deleteFromIndexes(taken)
      this.pools.delete(name)
      this.pools.set(name, pool)
      return taken
    }
    return undefined
  }

  remove (id: RequestId): boolean {
    const request = this.requests.get(id)
    if (request === undefined) return false
    this.removeQueued(request)
    return true
  }

  expire (): ReadonlyArray<ShedRequest<Request>> {
    const now = this.options.clock.monotonic()
    const expired: Array<ShedRequest<Request>> = []
    for (;;) {
      const deadline = this.deadlines.peekKey()
      const request = this.deadlines.peek()
      if (request === undefined || deadline === undefined || deadline > now) return expired
      this.removeQueued(request)
      const refusal = this.refuseDeadlineExceeded(request, 'no upstream was free before the deadline')
      expired.push({ request, refusal })
    }
  }

  /** Pools with waiting requests: first those whose next request is urgent, each group least recently served first. */
  private poolsInServingOrder (): ReadonlyArray<readonly [string, PoolQueue<Request>]> {
    const waiting = [...this.pools].filter(([, pool]) => pool.length > 0)
    const urgent = waiting.filter(([, pool]) => pool.isUrgent)
    return urgent.concat(waiting.filter(([, pool]) => !pool.isUrgent))
  }

  private refusalFor (request: Request, expectedWait: number): Refusal | undefined {
    const { clock, capacityRequests, capacityTokens, teamShare, deadlineSlack } = this.options
    const remaining = request.deadlineAt - clock.monotonic()
    if (expectedWait > remaining * deadlineSlack) {
      return this.refuseDeadlineExceeded(request, `about ${Math.round(expectedWait)} ms of work wait ahead, past the deadline`)
    }
    const isOverShare = this.teams.countOf(request.team) + 1 > Math.max(1, capacityRequests * teamShare) ||
      this.teams.tokensOf(request.team) + request.cost > capacityTokens * teamShare
    if (!isOverShare) return undefined
    return this.refuseQueueFull(request, `team "${request.team}" fills its part of the queue`)
  }

  private refuseDeadlineExceeded (request: Request, detail: string): Refusal {
    return refuse(RefusalReason.DeadlineExceeded, detail, { retryAfterMilliseconds: this.retryAfter(request) })
  }

  private refuseQueueFull (request: Request, detail: string): Refusal {
    return refuse(RefusalReason.QueueFull, detail, { retryAfterMilliseconds: this.retryAfter(request) })
  }

  /** Time in which the team's own queued requests are expected to be dispatched. */
  private retryAfter (request: Request): number {
    return clampRetryAfter(this.pools.get(request.pool)?.expectedWaitMilliseconds(request) ?? 0)
  }

  private shedOverflow (): ReadonlyArray<ShedRequest<Request>> {
    const { capacityRequests, capacityTokens } = this.options
    const shed: Array<ShedRequest<Request>> = []
    while (this.requests.size > capacityRequests || this.tokens > capacityTokens) {
      const request = this.teams.nextToShed()
      if (request === undefined) break
      const refusal = this.refuseQueueFull(request, `the queue is full, and team "${request.team}" holds the most for its weight`)
      this.removeQueued(request)
      shed.push({ request, refusal })
    }
    assertInvariant(this.requests.size <= capacityRequests, 'queue-bound', () => `${this.requests.size} requests queued`)
    return shed
  }

  private add (request: Request, pool: PoolQueue<Request>): void {
    assertInvariant(!this.requests.has(request.id), 'queued-once', () => `request ${request.id} is queued already`)
    this.requests.set(request.id, request)
    this.deadlines.set(request, request.deadlineAt)
    this.teams.add(request)
    this.tokens += request.cost
    pool.add(request)
  }

  private removeQueued (request: Request): void {
    this.pools.get(request.pool)?.delete(request)
    this.deleteFromIndexes(request)
  }

  private deleteFromIndexes (request: Request): void {
    const wasQueued = this.requests.delete(request.id)
    assertInvariant(wasQueued, 'queued-once', () => `request ${request.id} left the queue twice`)
    this.deadlines.remove(request)
    this.teams.delete(request)
    this.tokens -= request.cost
  }

  private poolOf (name: string): PoolQueue<Request> {
    const existing = this.pools.get(name)
    if (existing !== undefined) return existing
    if (this.pools.size >= poolPruningThreshold) this.deleteEmptyPools()
    const created = new PoolQueue<Request>(this.options)
    this.pools.set(name, created)
    return created
  }

  /** Pools change with the configuration. An empty pool that is deleted is created again on demand. */
  private deleteEmptyPools (): void {
    for (const [name, pool] of this.pools) {
      if (pool.length === 0) this.pools.delete(name)
    }
  }
}
