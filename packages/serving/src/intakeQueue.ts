/**
 * Overload control for a VM's processor. While the event loop keeps up, requests
 * are started as they are read. While it is behind, they wait until the sockets
 * have been polled once more, so that callers that have left are noticed, and
 * each turn of the event loop starts only what fits its budget. The queue is
 * ordered by rank, by age (newest first while it stands) and by the teams' work,
 * and is cut by CoDel when it doesn't drain.
 */

import { RefusalReason, millisecondsPerSecond, refuse } from '@cuminvale/common'
import { ConnectionLimiter } from './connectionLimiter.js'
import { DecayingSum } from './decayingSum.js'
import { compareWaiting, leastServed } from './intakeOrder.js'
import type { Clock, Random, Refusal, TeamId } from '@cuminvale/common'
import type { WaitingItem } from './intakeOrder.js'

export interface IntakeItem {
  /** 0 is the most urgent. */
  readonly rank: number
  readonly team: TeamId | undefined
  /** Monotonic time until which the caller waits. */
  readonly deadlineAt: number
  /** Whether the caller's connection has ended. */
  readonly hasLeft: boolean
}

export interface IntakeQueueOptions {
  readonly clock: Clock
  readonly random: Random
  /** Shortest objective of the configured routes. */
  readonly objectiveMilliseconds: () => number
}

export interface RefusedItem<Item> {
  readonly item: Item
  readonly refusal: Refusal
}

/** Budget of a turn as a part of the objective. A request and its answer pass five turns (accept, read, poll, connect, answer), which may take a fifth of the objective. */
const turnBudgetShare = 0.04
/** Part of a turn that may be used for starts even if its other work takes more than the budget. A start takes about a quarter of what a request costs with its reading and its answer. */
const minimumStartShare = 0.25
/** Target of the wait in the queue as a part of the objective; the rest is for the upstreams. */
const targetWaitShare = 0.1
/** Interval of CoDel: long enough for bursts of a few turns to drain. */
const intervalMilliseconds = 100
/** Time for which the VM counts as behind from its first request; callers that it had before a restart return within a third of their deadlines. */
const startMilliseconds = 3_000
/** Time constant of the rate of starts and of the teams' work. */
const rateTimeConstantMilliseconds = 500
/** Starts per second that are assumed at least. */
const minimumRatePerSecond = 20
/** Part of the remaining time for which callers honour a time to return. */
const honouredReturnShare = 1 / 3
/** Part of the objective within which a burst of new connections must be served. */
const burstShare = 0.5
/** Remaining time of callers that have sent no request yet. */
const initialRemainingMilliseconds = 3_000
const remainingWeight = 0.05
/** Weight of the last turn in the smoothed time that a turn takes beside its starts; answers follow starts after several turns. */
const otherWorkWeight = 0.3
/** Time that a start takes before any was measured, and the weight of one measurement. */
const initialStartMilliseconds = 0.5
const startWeight = 0.05
/** Bound of one measurement, as a multiple of the mean; a start may contain a pause of the process. */
const maximumStartRatio = 3
/** Requests that may wait, whatever the rate. */
const maximumWaiting = 4_096

export class IntakeQueue<Item extends IntakeItem> {
  private waiting: Array<WaitingItem<Item>> = []
  private refused: Array<RefusedItem<Item>> = []
  private left: Item[] = []
  private turn = 0
  private isLate = false
  private startEndsAt: number | undefined
  /** Milliseconds of starts since the end of the last turn, and how many may be used. */
  private startedMilliseconds = 0
  private allowedMilliseconds = Infinity
  private otherMilliseconds = 0
  private readonly starts: DecayingSum
  private readonly teamWork = new Map<TeamId | undefined, DecayingSum>()
  private readonly limiter: ConnectionLimiter
  private intervalStartedAt: number
  /** Least age of the oldest waiting request in the interval. */
  private leastWait = 0
  private isCutting = false
  private longestTurnMilliseconds = 0
  private readCount = 0
  private startCount = 0
  private meanStartMilliseconds = initialStartMilliseconds
  private refusedCount = 0
  /** Time up to which refused callers have been asked to return. */
  private returnsAt = 0
  private remainingMilliseconds = initialRemainingMilliseconds

  constructor (private readonly options: IntakeQueueOptions) {
    this.limiter = new ConnectionLimiter(options.clock)
    this.starts = new DecayingSum(options.clock)
    this.intervalStartedAt = options.clock.monotonic()
  }

  get turnBudgetMilliseconds (): number {
    return this.options.objectiveMilliseconds() * turnBudgetShare
  }

  get targetWaitMilliseconds (): number {
    return this.options.objectiveMilliseconds() * targetWaitShare
  }

  get size (): number {
    return this.waiting.length
  }

  /** Whether requests wait for the next poll of the sockets before they are started. */
  get isBehind (): boolean {
    return this.isLate || this.waiting.length > 0 || this.startEndsAt === undefined || this.startedMilliseconds > this.turnBudgetMilliseconds
  }

  /** Counts a request that was just read, and tells whether it may be started at once; otherwise it is to be added. */
  startsAtOnce (): boolean {
    this.readCount += 1
    return !this.isBehind
  }

  /** Work started since the end of the last turn. */
  get startedInTurnMilliseconds (): number {
    return this.startedMilliseconds
  }

  /** Records work that was started, whether at once or from the queue. */
  recordStart (item: Item, milliseconds: number): void {
    this.startedMilliseconds += milliseconds
    this.startCount += 1
    this.meanStartMilliseconds += (Math.min(milliseconds, this.meanStartMilliseconds * maximumStartRatio) - this.meanStartMilliseconds) * startWeight
    if (!this.isBehind) return
    this.starts.add(1, rateTimeConstantMilliseconds)
    const { team } = item
    let work = this.teamWork.get(team)
    if (work === undefined) this.teamWork.set(team, work = new DecayingSum(this.options.clock))
    work.add(milliseconds, rateTimeConstantMilliseconds)
  }

  /** Queues a request that was just read, or refuses it at once. */
  add (item: Item): void {
    const now = this.options.clock.monotonic()
    if (this.startEndsAt === undefined) this.beginStart()
    const remaining = item.deadlineAt - now
    this.remainingMilliseconds += (Math.max(0, remaining) - this.remainingMilliseconds) * remainingWeight
    if (remaining < this.turnBudgetMilliseconds) this.refuse(item, RefusalReason.DeadlineExceeded, 'the time is over before it could be started')
    else if (this.waiting.length >= maximumWaiting) this.refuse(item, RefusalReason.QueueFull, 'too many requests wait for the processor')
    else this.waiting.push({ item, readAt: now, turn: this.turn })
  }

  /** Records that a turn has been longer than the budget, as seen by a timer that fired late. */
  recordLateness (milliseconds: number): void {
    if (milliseconds > this.turnBudgetMilliseconds) this.isLate = true
    else if (this.waiting.length === 0 && !this.isStarting) this.isLate = false
  }

  /**
   * Ends a turn, after all sockets that had something to read were read. Drops and
   * refuses requests, and allows the starts of the next turn: `takeNext`.
   */
  endTurn (turnMilliseconds: number): void {
    const now = this.options.clock.monotonic()
    const budget = this.turnBudgetMilliseconds
    const other = Math.max(0, turnMilliseconds - this.startedMilliseconds)
    this.otherMilliseconds += (other - this.otherMilliseconds) * otherWorkWeight
    this.allowedMilliseconds = Math.min(budget, Math.max(turnMilliseconds * minimumStartShare, budget - this.otherMilliseconds))
    this.isLate = turnMilliseconds > budget || this.startedMilliseconds > budget || this.isStarting
    this.startedMilliseconds = 0
    this.longestTurnMilliseconds = Math.max(this.longestTurnMilliseconds, turnMilliseconds)
    this.turn += 1
    this.removeEnded(now)
    this.endInterval(now)
    if (this.waiting.length === 0) return
    const isStanding = this.oldestWait(now) > this.targetWaitMilliseconds
    this.waiting.sort((a, b) => compareWaiting(a, b, isStanding))
    if (this.isCutting) this.cut()
  }

  /** Takes the next request to start in this turn; undefined if none is ready, or the turn's budget is used. */
  takeNext (): Item | undefined {
    if (this.startedMilliseconds >= this.allowedMilliseconds) return undefined
    // A request that was read in the turn that has just ended waits for the next poll, in which the end of its connection is read.
    const first = this.waiting.findIndex(({ turn }) => turn < this.turn - 1)
    if (first < 0) return undefined
    const index = leastServed(this.waiting, first, (candidate) => candidate.turn < this.turn - 1, (team) => this.workOf(team))
    const [taken] = this.waiting.splice(index, 1)
    return taken?.item
  }

  /** Requests refused since the last call. */
  takeRefused (): ReadonlyArray<RefusedItem<Item>> {
    if (this.refused.length === 0) return this.refused
    const { refused } = this
    this.refused = []
    return refused
  }

  /** Requests dropped since the last call, as their callers have left. */
  takeLeft (): readonly Item[] {
    if (this.left.length === 0) return this.left
    const { left } = this
    this.left = []
    return left
  }

  /** Whether new connections are bounded, so that turns are to be ended now and then, even without requests. */
  get boundsConnections (): boolean {
    return this.limiter.isActive
  }

  /** Time after which the caller of a new connection is to return if the connection is refused unread; undefined if it is accepted. */
  connectionRefusal (): number | undefined {
    if (this.startEndsAt === undefined) this.beginStart()
    return this.limiter.refusesNext() ? this.returnMilliseconds(this.remainingMilliseconds) : undefined
  }

  /** Bounds connections from the first one, since a backlog of them may have formed before the start. */
  private beginStart (): void {
    this.startEndsAt = this.options.clock.monotonic() + startMilliseconds
    this.activateLimiter()
  }

  private activateLimiter (): void {
    this.limiter.activate(this.capacityPerMillisecond, this.options.objectiveMilliseconds() * burstShare)
  }

  /** Estimate of the requests that can be served per millisecond, from the time of a start. */
  private get capacityPerMillisecond (): number {
    return minimumStartShare / this.meanStartMilliseconds
  }

  private get isStarting (): boolean {
    return this.startEndsAt === undefined || this.options.clock.monotonic() < this.startEndsAt
  }

  private get ratePerSecond (): number {
    return Math.max(minimumRatePerSecond, this.starts.value(rateTimeConstantMilliseconds) / rateTimeConstantMilliseconds * millisecondsPerSecond)
  }

  private workOf (team: TeamId | undefined): number {
    return this.teamWork.get(team)?.value(rateTimeConstantMilliseconds) ?? 0
  }

  /** Wait of the oldest request that was ready in the last turn, and that its budget left over. The wait for the poll is no backlog, however long turns are. */
  private oldestWait (now: number): number {
    return this.waiting.reduce((longest, { readAt, turn }) => turn < this.turn - 2 ? Math.max(longest, now - readAt) : longest, 0)
  }

  private removeEnded (now: number): void {
    this.waiting = this.waiting.filter(({ item }) => {
      if (item.hasLeft) {
        this.left.push(item)
        return false
      }
      if (item.deadlineAt - now >= this.turnBudgetMilliseconds) return true
      this.refuse(item, RefusalReason.DeadlineExceeded, 'the time was over before it could be started')
      return false
    })
  }

  /** CoDel: a queue whose oldest request has waited for longer than the target throughout an interval doesn't drain by itself. */
  private endInterval (now: number): void {
    this.leastWait = Math.min(this.leastWait, this.oldestWait(now))
    if (now - this.intervalStartedAt < intervalMilliseconds) return
    this.isCutting = this.leastWait > this.targetWaitMilliseconds || (this.isCutting && this.refusedCount > 0)
    if (this.isCutting && !this.limiter.isActive) this.activateLimiter()
    const longestTurn = this.longestTurnMilliseconds / this.turnBudgetMilliseconds
    this.limiter.endInterval({ read: this.readCount, started: this.startCount, isStanding: this.isCutting, longestTurn }, this.capacityPerMillisecond, !this.isStarting)
    this.intervalStartedAt = now
    this.leastWait = Infinity
    this.readCount = 0
    this.startCount = 0
    this.refusedCount = 0
    this.longestTurnMilliseconds = 0
    for (const [team, work] of this.teamWork) if (work.value(rateTimeConstantMilliseconds) < 1) this.teamWork.delete(team)
  }

  /** Refuses what is not served within the target; what the budget of one turn starts is kept. */
  private cut (): void {
    const perTurn = this.turnBudgetMilliseconds / this.meanStartMilliseconds
    const kept = Math.ceil(Math.max(perTurn, this.ratePerSecond * this.targetWaitMilliseconds / millisecondsPerSecond))
    for (const { item } of this.waiting.splice(kept)) this.refuse(item, RefusalReason.QueueFull, 'more requests than the processor can serve')
  }

  private refuse (item: Item, reason: RefusalReason, detail: string): void {
    this.refusedCount += 1
    const remaining = item.deadlineAt - this.options.clock.monotonic()
    this.refused.push({ item, refusal: refuse(reason, detail, { retryAfterMilliseconds: this.returnMilliseconds(remaining) }) })
  }

  /** Refused callers return one after another, at the rate of starts, after what waits; those for whom that is too late are spread over the time in which they would return. */
  private returnMilliseconds (remainingMilliseconds: number): number {
    const now = this.options.clock.monotonic()
    const honoured = Math.max(0, remainingMilliseconds * honouredReturnShare)
    const spacing = millisecondsPerSecond / this.ratePerSecond
    const next = Math.max(this.returnsAt, now + this.waiting.length * spacing) + spacing
    if (next - now > honoured) return honoured * (1 + this.options.random.next()) / 2
    this.returnsAt = next
    return next - now
  }
}
