/**
 * Soak suite for the admission queue: no queued request is lost or settled twice,
 * the bounds hold, and no team starves, under any mix of requests, stalled pools
 * and callers that leave.
 */

import * as fastCheck from 'fast-check'
import { FairQueue } from '@cuminvale/admission'
import { PriorityClass, toRequestId, toTeamId } from '@cuminvale/common'
import type { QueuedRequest, ShedRequest } from '@cuminvale/admission'
import type { RequestId, TeamId } from '@cuminvale/common'
import { checkCommands } from './checkCommands.js'
import { VirtualClock } from './virtualClock.js'
import { FaultKind } from './soakSuite.js'
import type { SoakSuite, SoakTally } from './soakSuite.js'

const teamWeights = [4, 2, 1, 1]
const pools = ['pool-0', 'pool-1']
const runsPerBatch = 60
const maximumCommands = 80
const capacityRequests = 60
const capacityTokens = 30_000
const maximumCost = 1_000
const headStartTokens = 1_500
const agingMilliseconds = 2_000
const farDeadlineMilliseconds = 100_000

/**
 * Maximum lead in weighted tokens that another team may have over a team with
 * waiting requests: the head starts of both teams and one request of each.
 */
const unfairnessBound = 2 * headStartTokens + 2 * maximumCost

/** Weighted tokens granted to each team of a pool since one team began to wait. */
interface WaitRecord {
  ownTokens: number
  readonly otherTeamsTokens: Map<TeamId, number>
}

export class CheckedQueue {
  readonly clock = new VirtualClock()
  readonly stalledPools = new Set<string>()
  private readonly queue = new FairQueue<QueuedRequest>({
    clock: this.clock,
    capacityRequests,
    capacityTokens,
    teamShare: 0.6,
    interactiveHeadStartTokens: headStartTokens,
    agingMilliseconds,
    deadlineSlack: 1.5
  })

  private readonly outstanding = new Map<RequestId, QueuedRequest>()
  private readonly settled = new Set<RequestId>()
  private readonly waitRecords = new Map<string, WaitRecord>()
  private lastId = 0

  constructor (readonly tally: SoakTally) {}

  enqueue (request: { team: number, pool: number, priority: PriorityClass, cost: number, deadline: number }): void {
    this.tally.operation()
    const now = this.clock.monotonic()
    this.lastId += 1
    const queued: QueuedRequest = {
      id: toRequestId(`r-${this.lastId}`),
      team: toTeamId(`team-${request.team}`),
      pool: pools[request.pool] ?? '',
      priority: request.priority,
      weight: teamWeights[request.team] ?? 1,
      cost: request.cost,
      enqueuedAt: now,
      deadlineAt: now + request.deadline
    }
    this.outstanding.set(queued.id, queued)
    this.startWait(queued)
    this.settleShed(this.queue.enqueue(queued))
    this.checkBounds()
  }

  dispatch (count: number): void {
    for (let index = 0; index < count; index += 1) {
      const request = this.queue.dequeue(({ pool }) => !this.stalledPools.has(pool))
      if (request === undefined) return
      this.tally.operation()
      this.checkOrder(request)
      this.settle(request)
      this.recordService(request)
    }
  }

  /** Removes the request of a caller that leaves; the queue must hold exactly the outstanding requests. */
  leave (index: number): void {
    const ids = [...this.outstanding.keys()]
    const id = ids[index % Math.max(1, ids.length)]
    const request = id === undefined ? undefined : this.outstanding.get(id)
    if (request === undefined) return
    this.tally.operation()
    if (!this.queue.remove(request.id)) throw new Error(`request ${request.id} was lost`)
    if (this.queue.remove(request.id)) throw new Error(`request ${request.id} was removed twice`)
    this.settle(request)
  }

  wait (milliseconds: number): void {
    this.clock.advance(milliseconds)
    this.settleShed(this.queue.expire())
    const expired = [...this.outstanding.values()].filter(({ deadlineAt }) => deadlineAt <= this.clock.monotonic())
    if (expired.length > 0) throw new Error(`request ${expired[0]?.id ?? ''} is kept past its deadline`)
  }

  finish (): void {
    this.stalledPools.clear()
    this.dispatch(this.outstanding.size)
    if (this.outstanding.size > 0) throw new Error(`${this.outstanding.size} requests were lost`)
    if (this.queue.length !== 0) throw new Error(`the queue still counts ${this.queue.length} requests`)
  }

  private settleShed (shed: ReadonlyArray<ShedRequest<QueuedRequest>>): void {
    for (const { request, refusal } of shed) {
      if (refusal.outcome !== 'not-run') throw new Error(`request ${request.id} was shed as ${refusal.outcome}`)
      if ((refusal.retryAfterMilliseconds ?? 0) <= 0) throw new Error(`request ${request.id} was shed without a retry-after time`)
      this.settle(request)
    }
  }

  private settle (request: QueuedRequest): void {
    if (this.settled.has(request.id)) throw new Error(`request ${request.id} was settled twice`)
    this.settled.add(request.id)
    this.outstanding.delete(request.id)
    const hasOtherRequests = [...this.outstanding.values()].some((other) => waitKey(other) === waitKey(request))
    if (!hasOtherRequests) this.waitRecords.delete(waitKey(request))
  }

  private startWait (request: QueuedRequest): void {
    if (!this.waitRecords.has(waitKey(request))) this.waitRecords.set(waitKey(request), { ownTokens: 0, otherTeamsTokens: new Map() })
  }

  private recordService (request: QueuedRequest): void {
    const weightedTokens = request.cost / request.weight
    for (const [key, record] of this.waitRecords) {
      if (!key.startsWith(`${request.pool} `)) continue
      if (key === waitKey(request)) {
        record.ownTokens += weightedTokens
        continue
      }
      const total = (record.otherTeamsTokens.get(request.team) ?? 0) + weightedTokens
      record.otherTeamsTokens.set(request.team, total)
      if (total - record.ownTokens > unfairnessBound) {
        throw new Error(`${key} waited while ${request.team} was granted ${total - record.ownTokens} more weighted tokens`)
      }
    }
  }

  /** Dispatch follows the order of arrival within a team, pool and priority, so that no unblocked request is passed over for good. */
  private checkOrder (request: QueuedRequest): void {
    for (const other of this.outstanding.values()) {
      const isSameClass = other.team === request.team && other.pool === request.pool && other.priority === request.priority
      if (isSameClass && other.enqueuedAt < request.enqueuedAt) throw new Error(`${request.id} overtook ${other.id}`)
    }
  }

  private checkBounds (): void {
    const requests = [...this.outstanding.values()]
    const tokens = requests.reduce((sum, { cost }) => sum + cost, 0)
    if (requests.length > capacityRequests || tokens > capacityTokens) {
      throw new Error(`${requests.length} requests of ${tokens} tokens are queued, which exceeds the capacity`)
    }
    if (requests.length !== this.queue.length) throw new Error(`${this.queue.length} queued, ${requests.length} outstanding`)
  }
}

const waitKey = (request: QueuedRequest): string => `${request.pool} ${request.team}`

type Model = Record<string, never>

class AdmissionCommand implements fastCheck.Command<Model, CheckedQueue> {
  constructor (private readonly name: string, private readonly execute: (checkedQueue: CheckedQueue) => void) {}

  check (): boolean {
    return true
  }

  run (_: Model, checkedQueue: CheckedQueue): void {
    this.execute(checkedQueue)
  }

  toString (): string {
    return this.name
  }
}

const requestArbitrary = fastCheck.record({
  team: fastCheck.integer({ min: 0, max: teamWeights.length - 1 }),
  pool: fastCheck.integer({ min: 0, max: pools.length - 1 }),
  priority: fastCheck.constantFrom(PriorityClass.Interactive, PriorityClass.Batch),
  cost: fastCheck.integer({ min: 1, max: maximumCost }),
  deadline: fastCheck.constantFrom(500, 5_000, farDeadlineMilliseconds)
})

const commands = [
  requestArbitrary.map((request) => new AdmissionCommand(`offer(${JSON.stringify(request)})`, (checkedQueue) => checkedQueue.enqueue(request))),
  fastCheck.tuple(requestArbitrary, fastCheck.integer({ min: 2, max: 40 })).map(([request, count]) =>
    new AdmissionCommand(`flood(${JSON.stringify(request)},${count})`, (checkedQueue) => {
      for (let index = 0; index < count; index += 1) checkedQueue.enqueue(request)
    })),
  fastCheck.integer({ min: 1, max: 30 }).map((count) =>
    new AdmissionCommand(`dispatch(${count})`, (checkedQueue) => checkedQueue.dispatch(count))),
  fastCheck.integer({ min: 0, max: 100 }).map((index) =>
    new AdmissionCommand(`leave(${index})`, (checkedQueue) => checkedQueue.leave(index))),
  fastCheck.integer({ min: 1, max: 3_000 }).map((milliseconds) =>
    new AdmissionCommand(`wait(${milliseconds})`, (checkedQueue) => checkedQueue.wait(milliseconds))),
  fastCheck.constantFrom(...pools).map((pool) => new AdmissionCommand(`stall(${pool})`, (checkedQueue) => {
    checkedQueue.tally.fault(FaultKind.UpstreamCrash)
    checkedQueue.stalledPools.add(pool)
  })),
  fastCheck.constant(new AdmissionCommand('recover', (checkedQueue) => checkedQueue.stalledPools.clear()))
]

export const admissionSoak: SoakSuite = {
  name: 'admission',
  guarantee: 'The largest team never starves the others; no queued request is lost or settled twice.',
  run: async (seed, tally) => await checkCommands<Model, CheckedQueue>({
    seed,
    runs: runsPerBatch,
    maximumCommands,
    commands,
    setup: () => ({ model: {}, real: new CheckedQueue(tally) }),
    finish: (checkedQueue) => checkedQueue.finish()
  })
}
