/**
 * Model of one VM with a bounded processor and of callers with deadlines and
 * retries. It plays the turns of an event loop: a poll reads what lay in the
 * sockets when it began; an accepted connection is read one poll later, and the
 * end of a connection one poll after its data. Test code.
 */

import { ManualClock, SeededRandom } from '@cuminvale/common'
import { IntakeQueue } from './intakeQueue.js'
import type { TeamId } from '@cuminvale/common'
import type { IntakeItem } from './intakeQueue.js'

/** Milliseconds of the processor for each step of a request: 2 ms in all, as a served request of the gateway takes (docs/OPERATIONS.md). */
export const modelCosts = { accept: 0.1, read: 0.35, start: 0.55, answer: 1, refuse: 0.15, end: 0.03 } as const
export const modelCapacityPerSecond = 1_000 / (modelCosts.accept + modelCosts.read + modelCosts.start + modelCosts.answer)

export interface IntakeModelOptions {
  readonly seed: number
  readonly seconds: number
  /** Calls per second, as a multiple of the capacity, by the time in seconds. */
  readonly load: (second: number) => number
  /** Whether requests go through the IntakeQueue; otherwise they are started as they are read. */
  readonly isControlled: boolean
  /** Time at the start in which the process doesn't run yet, and connections wait. */
  readonly standstillMilliseconds: number
  /** Processor time of a connection that is refused unread. */
  readonly refuseConnectionMilliseconds: number
  /** Attempts of each call, within its deadline. */
  /** Connections that the kernel holds until they are accepted, if not those of the gateway. */
  readonly backlog?: number
  readonly attempts: number
}

export interface IntakeModelOutcome {
  /** Calls that were answered within their deadline, by the second in which they were answered. */
  readonly answered: readonly number[]
  readonly onTime: readonly number[]
  /** Share of the calls begun in each second that were answered. */
  readonly answeredShare: readonly number[]
  /** Connections refused unread in each second. */
  readonly refusedConnections: readonly number[]
  /** Part of the processor's time spent on starts and answers for callers that had left. */
  readonly wasted: number
  readonly longestTurn: number
  /** Answered calls by rank, divided by those begun. */
  readonly answeredByRank: readonly number[]
}

const objectiveMilliseconds = 510
const deadlineMilliseconds = 4_100
const patienceMilliseconds = 1_000
/** Connections that the kernel holds until they are accepted: callerBacklog of the gateway. */
const callerBacklog = 64
const retryMilliseconds = 30
const upstreamMilliseconds = 120
const ranks = 3
const teams = 16

interface Call {
  readonly begunAt: number
  readonly rank: number
  readonly team: TeamId
  attempts: number
  isAnswered: boolean
}

class Attempt implements IntakeItem {
  leavesAt: number
  isOver = false
  hasLeft = false
  readonly rank: number
  readonly team: TeamId
  deadlineAt: number

  constructor (readonly call: Call, readonly sentAt: number) {
    this.rank = call.rank
    this.team = call.team
    this.deadlineAt = call.begunAt + deadlineMilliseconds
    this.leavesAt = Math.min(this.deadlineAt, sentAt + Math.min(patienceMilliseconds, (this.deadlineAt - sentAt) / 3))
  }
}

interface Timed {
  readonly at: number
  readonly attempt: Attempt
}

/** Removes the entries that are due, and returns them by time. */
const takeDue = (entries: Timed[], now: number): readonly Timed[] => {
  const due = entries.filter(({ at }) => at <= now).sort((a, b) => a.at - b.at)
  if (due.length > 0) entries.splice(0, entries.length, ...entries.filter(({ at }) => at > now))
  return due
}

const increment = (counts: number[], index: number): void => { counts[index] = (counts[index] ?? 0) + 1 }

class IntakeModel {
  private readonly clock = new ManualClock(0)
  private readonly random: SeededRandom
  private readonly queue: IntakeQueue<Attempt>
  private readonly sends: Timed[] = []
  private readonly answers: Timed[] = []
  private connecting: Attempt[] = []
  private accepted: Attempt[] = []
  private readonly read = new Set<Attempt>()
  private nextCallAt = 0
  private spent = 0
  private wasted = 0
  private longestTurn = 0
  private readonly begun: number[]
  private readonly served: number[]
  private readonly answered: number[]
  private readonly onTime: number[]
  private readonly refusedConnections: number[]
  private readonly begunByRank = new Array<number>(ranks).fill(0)
  private readonly servedByRank = new Array<number>(ranks).fill(0)

  constructor (private readonly options: IntakeModelOptions) {
    this.random = new SeededRandom(options.seed)
    this.queue = new IntakeQueue({ clock: this.clock, random: this.random, objectiveMilliseconds: () => objectiveMilliseconds })
    const zeros = (): number[] => new Array<number>(options.seconds + 10).fill(0)
    this.begun = zeros()
    this.served = zeros()
    this.answered = zeros()
    this.onTime = zeros()
    this.refusedConnections = zeros()
  }

  play (): IntakeModelOutcome {
    const { seconds, standstillMilliseconds } = this.options
    this.clock.now = standstillMilliseconds
    while (this.clock.now < seconds * 1_000) this.playTurn()
    return {
      answered: this.answered.slice(0, seconds),
      onTime: this.onTime.slice(0, seconds),
      answeredShare: this.begun.slice(0, seconds).map((begun, second) => (this.served[second] ?? 0) / begun),
      wasted: this.wasted / this.spent,
      longestTurn: this.longestTurn,
      answeredByRank: this.servedByRank.map((served, rank) => served / (this.begunByRank[rank] ?? 1)),
      refusedConnections: this.refusedConnections.slice(0, seconds)
    }
  }

  private get second (): number {
    return Math.floor(this.clock.now / 1_000)
  }

  private work (milliseconds: number, attempt?: Attempt): void {
    this.spent += milliseconds
    if (attempt !== undefined && this.clock.now >= attempt.leavesAt) this.wasted += milliseconds
    this.clock.advance(milliseconds)
  }

  private playTurn (): void {
    this.connectCallers()
    const startedAt = this.clock.now
    // Libuv accepts one connection in a turn.
    const connecting = this.connecting.splice(0, 1)
    const accepted = this.accepted
    this.accepted = []
    const answers = takeDue(this.answers, startedAt)
    const ended = [...this.read].filter(({ leavesAt }) => leavesAt <= startedAt)
    if (connecting.length + accepted.length + answers.length + ended.length === 0 && this.queue.size === 0) {
      this.clock.advance(0.5)
      return
    }
    for (const { attempt } of answers) this.answer(attempt)
    for (const attempt of ended) this.end(attempt)
    for (const attempt of accepted) this.readRequest(attempt)
    for (const attempt of connecting) this.accept(attempt)
    if (this.options.isControlled) this.checkQueue(startedAt)
    this.longestTurn = Math.max(this.longestTurn, this.clock.now - startedAt)
  }

  private checkQueue (startedAt: number): void {
    this.queue.endTurn(this.clock.now - startedAt)
    for (const attempt of this.queue.takeLeft()) this.read.delete(attempt)
    for (let attempt = this.queue.takeNext(); attempt !== undefined; attempt = this.queue.takeNext()) this.start(attempt)
    for (const { item, refusal } of this.queue.takeRefused()) {
      this.work(modelCosts.refuse)
      this.refuse(item, refusal.retryAfterMilliseconds ?? 0)
    }
  }

  private connectCallers (): void {
    const { now } = this.clock
    while (this.nextCallAt <= now) {
      const call: Call = { begunAt: this.nextCallAt, rank: Math.floor(this.random.next() * ranks), team: `t${Math.floor(this.random.next() ** 2 * teams)}` as TeamId, attempts: 0, isAnswered: false }
      const second = Math.floor(this.nextCallAt / 1_000)
      increment(this.begun, second)
      increment(this.begunByRank, call.rank)
      this.send(call, this.nextCallAt)
      this.nextCallAt += -Math.log(1 - this.random.next()) * 1_000 / (modelCapacityPerSecond * this.options.load(this.nextCallAt / 1_000))
    }
    for (const { attempt } of takeDue(this.sends, now)) {
      if (this.connecting.length < (this.options.backlog ?? callerBacklog)) this.connecting.push(attempt)
      else this.send(attempt.call, attempt.sentAt + patienceMilliseconds)
    }
  }

  private send (call: Call, at: number): void {
    if (call.attempts >= this.options.attempts || at >= call.begunAt + deadlineMilliseconds) return
    call.attempts += 1
    this.sends.push({ at, attempt: new Attempt(call, at) })
  }

  /** The caller sends again, unless the time to return is longer than a third of what remains; it then sends soon. */
  private refuse (attempt: Attempt, retryAfterMilliseconds: number): void {
    this.read.delete(attempt)
    attempt.isOver = true
    const at = Math.min(attempt.leavesAt, this.clock.now)
    const remaining = attempt.deadlineAt - at
    this.send(attempt.call, at + (retryAfterMilliseconds <= remaining / 3 ? Math.max(retryAfterMilliseconds, 1) : retryMilliseconds))
  }

  private accept (attempt: Attempt): void {
    if (this.options.isControlled) {
      const retryAfterMilliseconds = this.queue.connectionRefusal()
      if (retryAfterMilliseconds !== undefined) {
        this.work(this.options.refuseConnectionMilliseconds)
        increment(this.refusedConnections, this.second)
        return this.refuse(attempt, this.clock.now < attempt.leavesAt ? retryAfterMilliseconds : retryMilliseconds)
      }
    }
    this.work(modelCosts.accept)
    this.accepted.push(attempt)
  }

  private readRequest (attempt: Attempt): void {
    this.work(modelCosts.read)
    // A request that was read is waited for until the deadline.
    if (this.clock.now < attempt.leavesAt) attempt.leavesAt = attempt.deadlineAt
    this.read.add(attempt)
    if (!this.options.isControlled || this.queue.startsAtOnce()) this.start(attempt)
    else this.queue.add(attempt)
  }

  private start (attempt: Attempt): void {
    this.work(modelCosts.start, attempt)
    if (this.options.isControlled) this.queue.recordStart(attempt, modelCosts.start)
    this.answers.push({ at: this.clock.now + upstreamMilliseconds * (0.5 + this.random.next()), attempt })
  }

  private answer (attempt: Attempt): void {
    if (attempt.isOver) return
    this.work(modelCosts.answer, attempt)
    attempt.isOver = true
    this.read.delete(attempt)
    const { call } = attempt
    if (this.clock.now > attempt.leavesAt) return this.refuse(attempt, retryMilliseconds)
    const begunIn = Math.floor(call.begunAt / 1_000)
    increment(this.served, begunIn)
    increment(this.servedByRank, call.rank)
    increment(this.answered, this.second)
    if (this.clock.now - call.begunAt <= objectiveMilliseconds) increment(this.onTime, this.second)
  }

  /** The end of a connection is read; the caller has left at that time or before. */
  private end (attempt: Attempt): void {
    this.work(modelCosts.end)
    attempt.hasLeft = true
    this.refuse(attempt, retryMilliseconds)
  }
}

export const playIntakeModel = (options: IntakeModelOptions): IntakeModelOutcome => new IntakeModel(options).play()
