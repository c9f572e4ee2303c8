/**
 * Runs the IntakeQueue in the turns of the event loop: starts requests as they are
 * read while the loop keeps up, and otherwise from the check phase, which follows
 * each poll of the sockets. The end of a connection whose data lay before it in
 * the kernel is read one poll after the data, and accepted connections are read
 * one poll after their accept.
 */

import { IntakeQueue } from '@cuminvale/serving'
import { checkIntervalMilliseconds } from './constants.js'
import { describeError } from './errors.js'
import { OverloadLog } from './overloadLog.js'
import type { Refusal } from '@cuminvale/common'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { GatewayState } from './gatewayState.js'
import type { ReadRequest } from './readRequest.js'

export interface RequestIntakeOptions {
  readonly state: GatewayState
  readonly metrics: GatewayMetrics
  readonly start: (read: ReadRequest) => void
  readonly refuse: (read: ReadRequest, refusal: Refusal) => void
  /** Called for a request whose caller left while it waited. */
  readonly onLeft: (read: ReadRequest) => void
}

/** Objective that is assumed before a configuration is known. */
const defaultObjectiveMilliseconds = 500
/** Part of a turn's budget that may be started before the end of the turn is observed, which costs one more turn of the loop. */
const unobservedShare = 0.25
/** Time without requests after which the loop is no longer sampled, so that an idle VM doesn't wake up. */
const sampledMilliseconds = 1_000

export class RequestIntake {
  private readonly queue: IntakeQueue<ReadRequest>
  private readonly overloadLog: OverloadLog
  private immediate: NodeJS.Immediate | undefined
  private turnStartedAt = 0
  private timer: NodeJS.Timeout | undefined
  private sampledAt = 0
  private takenAt = 0
  /** Time of a poll since which a request may have lain in its socket; undefined while turns are short. */
  private unreadSince: number | undefined
  private isUnreadSinceLastTurn = false
  private objectiveVersion: number | undefined
  private objectiveMilliseconds = defaultObjectiveMilliseconds

  constructor (private readonly options: RequestIntakeOptions) {
    const { clock, random, log } = options.state
    this.queue = new IntakeQueue({ clock, random, objectiveMilliseconds: () => this.shortestObjective() })
    this.overloadLog = new OverloadLog(log)
  }

  /** Whether requests that were read wait for the processor. */
  get hasWaiting (): boolean {
    return this.queue.size > 0
  }

  /** Upper bound of the time for which a request that is read now has lain in its socket; 0 unless turns are long. */
  unreadMilliseconds (now: number): number {
    return this.unreadSince === undefined ? 0 : now - this.unreadSince
  }

  /** Starts a request that was read completely, or queues it. */
  take (read: ReadRequest): void {
    const now = this.options.state.clock.monotonic()
    this.takenAt = now
    // Nothing is known of the loop's turns if it was not sampled lately.
    const isKnown = this.timer !== undefined
    if (!isKnown) this.startSampling(now)
    else if (this.immediate === undefined) this.noticeLateness(now)
    if (this.queue.startsAtOnce() && isKnown) {
      this.start(read, now)
      if (this.queue.startedInTurnMilliseconds > this.queue.turnBudgetMilliseconds * unobservedShare) this.observeTurn(now)
      return
    }
    this.queue.add(read)
    this.observeTurn(now)
  }

  /** Milliseconds after which the caller of a new connection is to return; undefined if the connection is accepted. */
  connectionRefusal (): number | undefined {
    const retryAfterMilliseconds = this.queue.connectionRefusal()
    if (retryAfterMilliseconds === undefined) return undefined
    // The bound is adapted at the ends of turns, also while all connections are refused.
    this.observeTurn(this.options.state.clock.monotonic())
    this.overloadLog.count('refusedConnections')
    this.options.metrics.refusedConnections.inc()
    return retryAfterMilliseconds
  }

  close (): void {
    clearInterval(this.timer)
    this.timer = undefined
    clearImmediate(this.immediate)
  }

  private start (read: ReadRequest, now: number): number {
    this.options.start(read)
    const endedAt = this.options.state.clock.monotonic()
    this.queue.recordStart(read, endedAt - now)
    return endedAt
  }

  private observeTurn (now: number): void {
    if (this.immediate !== undefined) return
    this.turnStartedAt = now
    this.immediate = setImmediate(this.endTurn)
  }

  /** Requests that wait are not lost if an error is thrown. */
  private readonly endTurn = (): void => {
    try {
      this.serveQueue()
    } catch (error) {
      this.options.state.log.error('request-error', { detail: describeError(error) })
    }
    // The chain goes on while requests wait, and for the turn whose length the starts determine.
    this.immediate = this.queue.size > 0 || this.queue.startedInTurnMilliseconds > 0 ? setImmediate(this.endTurn) : undefined
  }

  private serveQueue (): void {
    const { clock } = this.options.state
    const { turnStartedAt } = this
    let now = clock.monotonic()
    const turnMilliseconds = now - turnStartedAt
    this.turnStartedAt = now
    this.recordTurn(now, turnMilliseconds, turnStartedAt)
    this.queue.endTurn(turnMilliseconds)
    for (const read of this.queue.takeLeft()) {
      this.overloadLog.count('left')
      this.options.onLeft(read)
    }
    for (let read = this.queue.takeNext(); read !== undefined; read = this.queue.takeNext()) now = this.start(read, now)
    this.refuseItems()
  }

  private refuseItems (): void {
    for (const { item, refusal } of this.queue.takeRefused()) {
      this.overloadLog.count('refused')
      this.options.refuse(item, refusal)
    }
  }

  private recordTurn (now: number, turnMilliseconds: number, since: number): void {
    const isOver = turnMilliseconds > this.queue.turnBudgetMilliseconds
    this.options.metrics.turnSeconds.set(turnMilliseconds / 1_000)
    this.overloadLog.record(now, turnMilliseconds, isOver)
    if (isOver) {
      this.unreadSince = since
      this.isUnreadSinceLastTurn = true
    } else if (this.isUnreadSinceLastTurn) {
      // Connections that were accepted in this turn are read in the next one.
      this.isUnreadSinceLastTurn = false
    } else {
      this.unreadSince = undefined
    }
  }

  private startSampling (now: number): void {
    this.sampledAt = now
    this.timer = setInterval(() => this.sample(), checkIntervalMilliseconds)
    this.timer.unref()
  }

  /** A timer that fires late shows a long turn, also one that has read no requests. */
  private sample (): void {
    const now = this.options.state.clock.monotonic()
    if (this.immediate === undefined) this.noticeLateness(now, true)
    this.sampledAt = now
    if (this.queue.boundsConnections) this.observeTurn(now)
    // After a long turn, the following ones show when the sockets have been read; without them, the next request would seem to have waited since.
    if (this.queue.size > 0 || this.unreadSince !== undefined || now - this.takenAt < sampledMilliseconds) return
    clearInterval(this.timer)
    this.timer = undefined
  }

  private noticeLateness (now: number, isOnTimer = false): void {
    const lateness = now - this.sampledAt - checkIntervalMilliseconds
    if (!isOnTimer && lateness <= this.queue.turnBudgetMilliseconds) return
    this.queue.recordLateness(lateness)
    this.recordTurn(now, Math.max(0, lateness), this.sampledAt)
  }

  private shortestObjective (): number {
    const { configuration } = this.options.state
    if (configuration !== undefined && configuration.version !== this.objectiveVersion) {
      this.objectiveVersion = configuration.version
      const { routes } = configuration.document
      this.objectiveMilliseconds = routes.reduce((shortest, route) => Math.min(shortest, route.objectiveMilliseconds), Infinity)
      if (!Number.isFinite(this.objectiveMilliseconds)) this.objectiveMilliseconds = defaultObjectiveMilliseconds
    }
    return this.objectiveMilliseconds
  }
}
