/**
 * Assigns requests to upstreams or to VMs of other regions. Requests wait in the admission queue
 * while every permitted upstream is full.
 */

import { Result } from 'true-myth'
import { RefusalReason, refuse } from '@cuminvale/common'
import { RoutingChoiceKind } from '@cuminvale/routing'
import type { Clock, Refusal, RegionId, TeamId, UpstreamId } from '@cuminvale/common'
import type { AdmissionQueue, QueuedRequest, ShedRequest, SlotReserve } from '@cuminvale/admission'
import type { RemoteRegionView, RoutingChoice, RoutingRequest, UpstreamChooser, UpstreamTable, UpstreamView } from '@cuminvale/routing'
import { maximumBorderCrossings, queueTickIntervalMilliseconds } from './constants.js'
import { estimatedRequestTokens } from './classifiedRequest.js'
import type { ClassifiedRequest } from './classifiedRequest.js'

/** A routing choice with a destination: an upstream to run on, or a VM to forward to. */
export type Assignment = Extract<RoutingChoice, { kind: 'run' | 'forward' }>

export interface WaitingRequest extends QueuedRequest {
  readonly routing: RoutingRequest
  readonly resolve: (result: Result<Assignment, Refusal>) => void
}

export interface SchedulerOptions {
  readonly clock: Clock
  readonly region: RegionId
  readonly queue: AdmissionQueue<WaitingRequest>
  readonly chooser: UpstreamChooser
  readonly table: UpstreamTable
  readonly remoteRegions: (request: RoutingRequest) => readonly RemoteRegionView[]
  readonly poolOf: (request: RoutingRequest) => string
  readonly reserve: SlotReserve
  /** Called in the turn of the event loop in which a request is assigned to another region. */
  readonly onForward: (request: RoutingRequest, region: RegionId) => void
}

const noUpstreamRetryMilliseconds = 1_000

export class Scheduler {
  private readonly timer: NodeJS.Timeout
  /** Pools of the requests that a team is running on an upstream, by upstream and team name. */
  private readonly poolsOfRunning = new Map<string, string[]>()

  constructor (private readonly options: SchedulerOptions) {
    this.timer = setInterval(() => this.tick(), queueTickIntervalMilliseconds)
    this.timer.unref()
  }

  get queueLength (): number {
    return this.options.queue.length
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** The routing choice for a request, without queueing it or taking a slot; for `/administration/explain`. */
  preview (routing: RoutingRequest): RoutingChoice {
    return this.choose(routing)
  }

  /** Waits for an assignment. One to an upstream counts as in flight until `release`. */
  acquire (request: ClassifiedRequest, excluded: ReadonlySet<UpstreamId>): Promise<Result<Assignment, Refusal>> {
    const routing = toRoutingRequest(request, excluded)
    const pool = this.options.poolOf(routing)
    if (this.options.queue.waitingCount(pool) === 0) {
      const choice = this.chooseWithinReserve(routing, { pool })
      if (choice.kind !== RoutingChoiceKind.Wait) return Promise.resolve(this.commitChoice(choice, { pool, routing }))
    }
    return new Promise((resolve) => {
      const onAbort = (): void => this.removeAborted(request, resolve)
      request.signal.addEventListener('abort', onAbort, { once: true })
      this.enqueue({ request, routing, pool }, (result) => {
        request.signal.removeEventListener('abort', onAbort)
        resolve(result)
      })
    })
  }

  release (upstream: UpstreamId, { team, succeeded }: { team: TeamId, succeeded: boolean }): void {
    this.options.table.endRequest(upstream, succeeded)
    const pools = this.poolsOfRunning.get(`${upstream} ${team}`)
    const pool = pools?.pop()
    if (pools?.length === 0) this.poolsOfRunning.delete(`${upstream} ${team}`)
    if (pool !== undefined) this.options.reserve.end(pool, team)
    this.dispatchQueued()
  }

  /** Dispatches queued requests while upstreams have free slots. */
  dispatchQueued (): void {
    for (;;) {
      let found: RoutingChoice | undefined
      const waiting = this.options.queue.dequeue((candidate) => {
        const choice = this.chooseWithinReserve(candidate.routing, candidate)
        if (choice.kind === RoutingChoiceKind.Wait) return false
        found = choice
        return true
      })
      if (waiting === undefined || found === undefined) return
      waiting.resolve(this.commitChoice(found, waiting))
    }
  }

  private tick (): void {
    this.refuseShed(this.options.queue.expire())
    this.dispatchQueued()
  }

  private enqueue (
    { request, routing, pool }: { request: ClassifiedRequest, routing: RoutingRequest, pool: string },
    resolve: WaitingRequest['resolve']
  ): void {
    this.refuseShed(this.options.queue.enqueue({
      id: request.id,
      team: request.team,
      pool,
      priority: request.route.priority,
      weight: request.plan?.weight ?? 1,
      cost: Math.max(1, estimatedRequestTokens(request)),
      enqueuedAt: this.options.clock.monotonic(),
      deadlineAt: request.deadlineAt,
      routing,
      resolve
    }))
  }

  /** Removes the request from the queue after its signal was aborted. */
  private removeAborted (request: ClassifiedRequest, resolve: WaitingRequest['resolve']): void {
    if (!this.options.queue.remove(request.id)) return
    resolve(Result.err(refuse(RefusalReason.CallerGone, 'the caller went away while the request waited')))
  }

  private refuseShed (shed: ReadonlyArray<ShedRequest<WaitingRequest>>): void {
    for (const { request, refusal } of shed) request.resolve(Result.err(refusal))
  }

  private choose (routing: RoutingRequest): RoutingChoice {
    const { chooser, region, table, remoteRegions, queue, poolOf } = this.options
    const upstreams = table.servingViews(region, routing)
    return chooser.choose(routing, { region, upstreams, remoteRegions: remoteRegions(routing), localWaitMilliseconds: queue.expectedWaitMilliseconds(poolOf(routing)) })
  }

  /** Like `choose`, but a team with a lasting backlog may not take reserved slots beyond its share. */
  private chooseWithinReserve (routing: RoutingRequest, { pool }: { pool: string }): RoutingChoice {
    const choice = this.choose(routing)
    if (choice.kind !== RoutingChoiceKind.Run) return choice
    const { reserve, queue, table, region } = this.options
    const slots = countSlots(table.servingViews(region, routing))
    const waitingSince = queue.waitingSince(pool, routing.team)
    if (reserve.mayTakeSlot(pool, routing.team, { ...slots, waitingSince })) return choice
    return { kind: RoutingChoiceKind.Wait, reason: 'the free slots are reserved for teams within their share' }
  }

  private commitChoice (choice: RoutingChoice, { pool, routing }: { pool: string, routing: RoutingRequest }): Result<Assignment, Refusal> {
    if (choice.kind === RoutingChoiceKind.Run) {
      this.options.table.beginRequest(choice.upstream)
      this.options.chooser.sent?.(routing, choice.upstream)
      const { team } = routing
      this.options.reserve.begin(pool, team)
      const key = `${choice.upstream} ${team}`
      this.poolsOfRunning.set(key, [...this.poolsOfRunning.get(key) ?? [], pool])
      return Result.ok(choice)
    }
    if (choice.kind === RoutingChoiceKind.Forward) {
      this.options.onForward(routing, choice.region)
      return Result.ok(choice)
    }
    return Result.err(refuse(RefusalReason.NoUpstream, choice.reason, {
      retryAfterMilliseconds: noUpstreamRetryMilliseconds
    }))
  }
}

const countSlots = (views: readonly UpstreamView[]) => {
  let total = 0
  let free = 0
  for (const { upstream, occupancy, leaving, ejected } of views) {
    if (leaving || ejected) continue
    total += upstream.slots
    free += Math.max(0, upstream.slots - occupancy)
  }
  return { total, free }
}

export const toRoutingRequest = (
  request: ClassifiedRequest,
  excluded: ReadonlySet<UpstreamId>
): RoutingRequest => ({
  team: request.team,
  route: request.route.name,
  ...(request.model === undefined ? {} : { model: request.model }),
  allowedRegions: request.allowedRegions,
  mayCrossBorder: request.borderCrossings < maximumBorderCrossings,
  excluded,
  promptTokens: request.promptTokens,
  outputTokens: request.outputTokens,
  prompt: request.prompt
})
