/**
 * Admission control of the services of a region while capacity is short. It
 * admits everything while the predicted queueing delay is short. Above that, it
 * adapts the rate of work that is started to the queueing delay and divides it by
 * rank, by team and by time left; see docs/design/admission.md.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { divideCapacity } from './capacityDivision.js'
import { DecayingSum } from './decayingSum.js'
import type { Clock, Random, TeamId } from '@cuminvale/common'
import type { ServiceName } from './types.js'

export const RefusalCause = {
  /** The share of the rank is used up, for all of its teams alike. */
  Rank: 'rank',
  /** The team asks for more than its fair share, and others ask too. */
  TeamShare: 'team-share',
  /** The answer would be late, and on-time requests need the capacity. */
  Late: 'late',
  /** The queueing delay is over the limit for any request of its kind. */
  Wait: 'wait',
  /** The predicted time is longer than the remaining time. */
  Deadline: 'deadline',
  /** This VM stops before the answer would end. */
  Stop: 'stop'
} as const
export type RefusalCause = typeof RefusalCause[keyof typeof RefusalCause]

export interface AdmissionQuery {
  readonly service: ServiceName
  readonly rank: number
  readonly team: TeamId | undefined
  /** Amount charged to the team. */
  readonly charge: number
  /** Predicted time to the answer, and the part of it that passes before the upstream starts the request. */
  readonly milliseconds: number
  readonly waitMilliseconds: number
  readonly objectiveMilliseconds: number
  readonly objectiveRemainingMilliseconds: number
  /** Whether an upstream that the request may use has a free slot and a short queue. Evaluated only before a refusal. */
  readonly hasIdleUpstream: () => boolean
}

export interface RoomAllocatorOptions {
  readonly clock: Clock
  readonly random: Random
  /** Factor on a team's demand at this VM; see RegionUsage.multiple. */
  readonly regionMultiple: (team: TeamId | undefined, charge: number) => number
}

interface FlowState {
  readonly rank: number
  readonly isLate: boolean
  readonly asked: DecayingSum
  multiple: number
  /** Share of the requests that are admitted, and what a refusal is called. */
  share: number
  cause: RefusalCause
  /** Grows by the share with each request; one is admitted when it reaches 1. Has less variance than independent draws. */
  credit: number
  askedAt: number
}

interface ServiceState {
  readonly flows: Map<string, FlowState>
  /** Work asked for lately: all of it, and by rank that which callers asked for the first time. */
  readonly asked: DecayingSum
  readonly askedFirst: Map<number, DecayingSum>
  /** Work and requests started lately. */
  readonly startedWork: DecayingSum
  readonly startedRequests: DecayingSum
  /** Shortest objective, and shortest slack of an objective after the request's own time, of those that asked lately. */
  objective: LeastValue
  slack: LeastValue
  /** Work started per second; undefined while capacity is not short. */
  capacity: number | undefined
  updatedAt: number
  dividedAt: number
  shortAt: number
}

/** Share of the objective up to which a predicted queueing delay is short, and every request is admitted. */
const shortDelayShare = 0.25
/** Share of the slack (objective less the request's own time) that the queueing delay is held at. The rest covers reports that are out of date and predictions that are too low. */
const targetDelayShare = 0.5
/**
 * Time constant of demands and starts. Shorter than a peak of a few seconds;
 * with 1 s, the few requests that one VM sees of a flow varied so much that 2 % more
 * of the most urgent ones were refused in the model at twice the capacity.
 */
const demandTimeConstantMilliseconds = 1_500
/** Time in which a delay of twice the target halves the work that is started; longer than the age of the load reports, so that the level doesn't oscillate. */
const capacityTimeConstantMilliseconds = 600
/** Immediate change of the admitted work for a delay of twice the target, and for one of zero. The rise is larger, so that the variation of demand causes no refusals below the target. */
const proportionalShares = { above: 0.25, below: 1 } as const
/** Share of the capacity that is handed out to returning callers even if first requests need all of it. */
const minimumReturnShare = 0.05
/** Age from which a request is one that returns; shorter than the shortest time to retry, longer than a forward takes. */
const returnAgeMilliseconds = 100
/** Multiple of the demand so far from which the admitted rate starts. With 1, peaks of under a second that the queue would have absorbed lost 4 % of the answers on time in the model. */
const initialCapacityShare = 1.25
/** Multiple of the demand up to which the admitted rate may rise; leaves room for the variation of the few requests that one VM sees. */
const maximumCapacityShare = 1.5
/** Longest time between two observations that is taken into account. */
const maximumStepMilliseconds = 200
const divisionIntervalMilliseconds = 50
/** Time without a delay above the short one after which capacity counts as sufficient again. */
const calmMilliseconds = 2_000
/** Time after which a flow that does not ask any more is removed. */
const flowLifetimeMilliseconds = 10_000

/** Least value seen within a time of one to two lifetimes. */
class LeastValue {
  private previous = Infinity
  private current = Infinity
  private startedAt: number

  constructor (private readonly clock: Clock) {
    this.startedAt = clock.monotonic()
  }

  record (value: number): number {
    const now = this.clock.monotonic()
    const elapsed = now - this.startedAt
    if (elapsed > demandTimeConstantMilliseconds) {
      this.previous = elapsed > 2 * demandTimeConstantMilliseconds ? Infinity : this.current
      this.current = Infinity
      this.startedAt = now
    }
    this.current = Math.min(this.current, value)
    return Math.min(this.previous, this.current)
  }
}

export class RoomAllocator {
  private readonly services = new Map<ServiceName, ServiceState>()

  constructor (private readonly options: RoomAllocatorOptions) {}

  /** Decides about a request that an upstream of this region could start; undefined if it is admitted, and the cause of its refusal otherwise. */
  refusalOf (query: AdmissionQuery): RefusalCause | undefined {
    const state = this.stateOf(query.service)
    const flow = this.flowOf(state, query)
    const own = workOf(query)
    this.recordDemand(state, flow, query)
    const shortDelay = state.objective.record(query.objectiveMilliseconds) * shortDelayShare
    const target = Math.max(shortDelay, state.slack.record(query.objectiveMilliseconds - own) * targetDelayShare)
    this.adaptCapacity(state, query.waitMilliseconds, { shortDelay, target })
    if (state.capacity === undefined || query.waitMilliseconds < shortDelay) return undefined
    const excess = clamp((query.waitMilliseconds - target) / target, -1, 1)
    this.divide(state, state.capacity * (1 - excess * (excess > 0 ? proportionalShares.above : proportionalShares.below)))
    if (flow.share >= 1) return undefined
    flow.credit += flow.share
    if (flow.credit >= 1) {
      flow.credit -= 1
      return undefined
    }
    return query.hasIdleUpstream() ? undefined : flow.cause
  }

  /** Counts the demand of a request that is refused for another reason. */
  recordRefused (query: AdmissionQuery): void {
    const state = this.stateOf(query.service)
    this.recordDemand(state, this.flowOf(state, query), query)
  }

  recordStart (query: AdmissionQuery): void {
    const state = this.stateOf(query.service)
    state.startedWork.add(workOf(query), demandTimeConstantMilliseconds)
    state.startedRequests.add(1, demandTimeConstantMilliseconds)
  }

  /**
   * Requests of a rank per second that can return to this VM: those for which
   * the first requests of callers of this rank and more urgent ones leave
   * capacity, and at least a small share, so that returns find capacity that
   * becomes free. Undefined while capacity is not short.
   */
  returnsPerSecond (service: ServiceName, rank: number): number | undefined {
    const state = this.services.get(service)
    if (state?.capacity === undefined) return undefined
    const requests = state.startedRequests.value(demandTimeConstantMilliseconds)
    const work = state.startedWork.value(demandTimeConstantMilliseconds)
    if (requests <= 0 || state.capacity <= 0) return undefined
    const first = [...state.askedFirst].reduce((sum, [other, asked]) => other <= rank ? sum + asked.value(demandTimeConstantMilliseconds) : sum, 0)
    const free = Math.max(state.capacity * minimumReturnShare, state.capacity - first)
    return free * requests / work / demandTimeConstantMilliseconds * millisecondsPerSecond
  }

  /** Share of the work asked for that is admitted, by service; 1 while capacity is not short. */
  levels (): ReadonlyMap<ServiceName, number> {
    return new Map([...this.services].map(([service, state]) => [service, this.level(state)] as const))
  }

  private level (state: ServiceState): number {
    if (state.capacity === undefined || this.options.clock.monotonic() - state.shortAt > calmMilliseconds) return 1
    const asked = state.asked.value(demandTimeConstantMilliseconds)
    return asked <= state.capacity ? 1 : state.capacity / asked
  }

  private stateOf (service: ServiceName): ServiceState {
    const existing = this.services.get(service)
    if (existing !== undefined) return existing
    const { clock } = this.options
    const state: ServiceState = {
      flows: new Map(),
      asked: new DecayingSum(clock),
      askedFirst: new Map(),
      startedWork: new DecayingSum(clock),
      startedRequests: new DecayingSum(clock),
      objective: new LeastValue(clock),
      slack: new LeastValue(clock),
      capacity: undefined,
      updatedAt: -Infinity,
      dividedAt: -Infinity,
      shortAt: -Infinity
    }
    this.services.set(service, state)
    return state
  }

  private flowOf (state: ServiceState, { rank, team, charge, milliseconds, objectiveRemainingMilliseconds }: AdmissionQuery): FlowState {
    const { clock, random, regionMultiple } = this.options
    const isLate = milliseconds > objectiveRemainingMilliseconds
    const key = `${rank} ${String(isLate)} ${team ?? ''}`
    let flow = state.flows.get(key)
    if (flow === undefined) {
      for (const [other, { askedAt }] of state.flows) {
        if (clock.monotonic() - askedAt > flowLifetimeMilliseconds) state.flows.delete(other)
      }
      // Random, so that the VMs don't all refuse the first request of a flow.
      flow = { rank, isLate, asked: new DecayingSum(clock), multiple: 1, share: 1, cause: RefusalCause.Rank, credit: random.next(), askedAt: 0 }
      state.flows.set(key, flow)
      state.dividedAt = -Infinity
    }
    flow.multiple = regionMultiple(team, charge)
    flow.askedAt = clock.monotonic()
    return flow
  }

  private recordDemand (state: ServiceState, flow: FlowState, query: AdmissionQuery): void {
    const work = workOf(query)
    flow.asked.add(work, demandTimeConstantMilliseconds)
    state.asked.add(work, demandTimeConstantMilliseconds)
    if (query.objectiveMilliseconds - query.objectiveRemainingMilliseconds >= returnAgeMilliseconds) return
    const first = state.askedFirst.get(query.rank) ?? new DecayingSum(this.options.clock)
    state.askedFirst.set(query.rank, first)
    first.add(work, demandTimeConstantMilliseconds)
  }

  /**
   * Moves the rate of work that is started towards the one that keeps the delay at
   * the target: it rises by a share of the demand and falls by a share of itself,
   * so that the levels of the VMs of a region converge.
   */
  private adaptCapacity (state: ServiceState, waitMilliseconds: number, { shortDelay, target }: { shortDelay: number, target: number }): void {
    const now = this.options.clock.monotonic()
    const demand = state.asked.value(demandTimeConstantMilliseconds)
    if (waitMilliseconds >= shortDelay) {
      state.shortAt = now
      if (state.capacity === undefined) {
        // Until now, everything was started that was asked for.
        state.capacity = demand * initialCapacityShare
        state.updatedAt = now
      }
    }
    if (state.capacity === undefined) return
    if (now - state.shortAt > calmMilliseconds) {
      state.capacity = undefined
      return
    }
    const step = Math.min(maximumStepMilliseconds, now - state.updatedAt) / capacityTimeConstantMilliseconds
    state.updatedAt = now
    const excess = clamp((waitMilliseconds - target) / target, -1, 1)
    state.capacity = Math.min(demand * maximumCapacityShare, state.capacity - excess * step * (excess > 0 ? state.capacity : demand))
  }

  private divide (state: ServiceState, capacity: number): void {
    const now = this.options.clock.monotonic()
    if (now - state.dividedAt < divisionIntervalMilliseconds) return
    state.dividedAt = now
    const flows = [...state.flows.values()]
    const demands = flows.map(demandOf)
    const localDemand = state.asked.value(demandTimeConstantMilliseconds)
    const demand = demands.reduce((sum, value) => sum + value, 0)
    // The multiples change how the capacity is divided, but not the part of the demand that it covers.
    const scaled = localDemand > 0 ? capacity * demand / localDemand : 0
    const shares = divideCapacity(flows.map(({ rank, isLate }, index) => ({ rank, isLate, demand: demands[index] ?? 0 })), scaled)
    const largestShares = new Map<number, number>()
    flows.forEach((flow, index) => {
      flow.share = shares[index] ?? 1
      if (!flow.isLate) largestShares.set(flow.rank, Math.max(flow.share, largestShares.get(flow.rank) ?? 0))
    })
    for (const flow of flows) {
      const isTeamLimited = flow.share < (largestShares.get(flow.rank) ?? 0)
      flow.cause = flow.isLate ? RefusalCause.Late : isTeamLimited ? RefusalCause.TeamShare : RefusalCause.Rank
    }
  }
}

const demandOf = ({ asked, multiple }: FlowState): number => asked.value(demandTimeConstantMilliseconds) * multiple

/** Milliseconds of an upstream's time that the request takes. */
const workOf = ({ milliseconds, waitMilliseconds }: AdmissionQuery): number => Math.max(1, milliseconds - waitMilliseconds)

const clamp = (value: number, minimum: number, maximum: number): number => Math.min(maximum, Math.max(minimum, value))
