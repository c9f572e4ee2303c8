/**
 * Measures admission of five teams to one pool, with the largest team absent, at
 * its rate, and at ten times its rate. Interactive and batch requests arrive as
 * Poisson processes; every policy gets the same seed.
 */

import { FairQueue, FifoQueue, SlotReserve, defaultFairQueueBounds } from '@cuminvale/admission'
import { PriorityClass, SeededRandom, millisecondsPerSecond, toRequestId, toTeamId } from '@cuminvale/common'
import { TokenBucket } from '@cuminvale/limits'
import type { AdmissionQueue, PoolSlots, QueuedRequest } from '@cuminvale/admission'
import type { TeamId } from '@cuminvale/common'
import { BatchRunner } from './batchRunner.js'
import { MeasuredDeployment } from './measureScenario.js'
import { exponentialVariate, percentile } from './statistics.js'
import { VirtualClock } from './virtualClock.js'
import type { MeasureRow, MeasureScenario } from './measureScenario.js'

export interface SimulatedTeam {
  readonly team: TeamId
  readonly weight: number
  /** Rate that the plan grants, in tokens per second. */
  readonly tokensPerSecond: number
}

interface RequestKind {
  readonly priority: PriorityClass
  readonly promptTokens: number
  readonly outputTokens: number
  readonly deadlineMilliseconds: number
  /** Share of the team's tokens. */
  readonly share: number
}

const requestKinds: readonly RequestKind[] = [
  { priority: PriorityClass.Interactive, promptTokens: 200, outputTokens: 40, deadlineMilliseconds: 10_000, share: 0.4 },
  { priority: PriorityClass.Batch, promptTokens: 600, outputTokens: 200, deadlineMilliseconds: 120_000, share: 0.6 }
]

const planLoadShare = 0.75
const planBurstSeconds = 2
const floodFactor = 10
const runMilliseconds = 120_000
const drainMilliseconds = 180_000
const queueCapacity = 2_000
const pool = 'pool'
const teamWeights = [4, 4, 2, 2, 1]
const cacheBlocks = 1
/** Throughput of a slot in a full runner, prompt and output tokens together, for the mix of `requestKinds`. */
const tokensPerSecondPerSlot = 170

export const AdmissionPolicy = { Fair: 'fair', FairWithoutReserve: 'fair-without-reserve', Fifo: 'fifo' } as const
export type AdmissionPolicy = typeof AdmissionPolicy[keyof typeof AdmissionPolicy]

interface MeasuredRequest extends QueuedRequest {
  readonly kind: RequestKind
}

interface TeamOutcome {
  readonly firstTokenMilliseconds: Record<PriorityClass, number[]>
  offered: number
  servedTokens: number
  refused: number
  expired: number
}

interface DeploymentSettings {
  readonly slots: number
  readonly reserveShare: number
  readonly deadlineSlack: number
}

const settingsOf: Record<MeasuredDeployment, DeploymentSettings> = {
  [MeasuredDeployment.Cooperativa]: { slots: 64, reserveShare: 0.25, deadlineSlack: 1 },
  [MeasuredDeployment.Talahib]: { slots: 48, reserveShare: 0.25, deadlineSlack: 2 }
}

/** Simulation of two runners behind one admission queue. */
export class AdmissionRun {
  readonly outcomes = new Map<TeamId, TeamOutcome>()
  readonly runners: readonly BatchRunner[]
  private readonly clock = new VirtualClock()
  private readonly queue: AdmissionQueue<MeasuredRequest>
  private readonly reserve: SlotReserve
  private nextId = 0
  private largestTeamBucket: TokenBucket | undefined

  constructor (
    policy: AdmissionPolicy,
    private readonly teams: readonly SimulatedTeam[],
    private readonly settings: DeploymentSettings
  ) {
    const { clock } = this
    const totalWeight = teams.reduce((sum, { weight }) => sum + weight, 0)
    this.runners = [0, 1].map(() => new BatchRunner({ clock, slots: settings.slots / 2, cacheBlocks }))
    this.queue = policy === AdmissionPolicy.Fifo
      ? new FifoQueue({ clock, capacity: queueCapacity })
      : new FairQueue({ ...defaultFairQueueBounds, clock, capacityRequests: queueCapacity, deadlineSlack: settings.deadlineSlack })
    this.reserve = new SlotReserve({
      clock,
      reservedSlotShare: policy === AdmissionPolicy.Fair ? settings.reserveShare : 0,
      weightShare: (team) => (teams.find((entry) => entry.team === team)?.weight ?? 0) / totalWeight,
      vmCount: () => 1
    })
    for (const { team } of teams) {
      this.outcomes.set(team, { firstTokenMilliseconds: { interactive: [], batch: [] }, offered: 0, servedTokens: 0, refused: 0, expired: 0 })
    }
  }

  /** Enforces the rate and burst of its plan on the largest team, which is the first. */
  limitLargestTeam (): void {
    const rate = this.teams[0]?.tokensPerSecond ?? 0
    this.largestTeamBucket = new TokenBucket({ ratePerSecond: rate, capacity: rate * planBurstSeconds }, this.clock.monotonic())
  }

  run (seed: number, rateFactorOf: (team: TeamId) => number): void {
    this.teams.forEach((team, teamIndex) => requestKinds.forEach((kind, kindIndex) => {
      const random = new SeededRandom(seed * 1_000 + teamIndex * 10 + kindIndex)
      const rateFactor = rateFactorOf(team.team)
      if (rateFactor === 0) return
      const meanGapMilliseconds = (kind.promptTokens + kind.outputTokens) / (team.tokensPerSecond * rateFactor * kind.share) * millisecondsPerSecond
      this.arrive({ team, kind, random, meanGapMilliseconds })
    }))
    for (let now = 0; now < runMilliseconds + drainMilliseconds; now += 20) {
      this.clock.advance(20)
      for (const { request } of this.queue.expire()) this.outcomeOf(request.team).expired += 1
      this.dispatchQueued()
    }
  }

  private arrive (source: { team: SimulatedTeam, kind: RequestKind, random: SeededRandom, meanGapMilliseconds: number }): void {
    this.clock.schedule(exponentialVariate(source.random, source.meanGapMilliseconds), () => {
      if (this.clock.monotonic() > runMilliseconds) return
      this.offer(source.team, source.kind)
      this.arrive(source)
    })
  }

  private offer ({ team, weight }: SimulatedTeam, kind: RequestKind): void {
    const now = this.clock.monotonic()
    const cost = kind.promptTokens + kind.outputTokens
    if (team === this.teams[0]?.team && this.largestTeamBucket?.take(cost, now) === false) return
    this.nextId += 1
    this.outcomeOf(team).offered += cost
    const shed = this.queue.enqueue({
      id: toRequestId(`r-${this.nextId}`),
      team,
      pool,
      priority: kind.priority,
      weight,
      cost: kind.promptTokens + kind.outputTokens,
      enqueuedAt: now,
      deadlineAt: now + kind.deadlineMilliseconds,
      kind
    })
    for (const { request } of shed) this.outcomeOf(request.team).refused += 1
    this.dispatchQueued()
  }

  private dispatchQueued (): void {
    for (;;) {
      const runner = this.runners.reduce((best, next) => next.running < best.running ? next : best)
      if (runner.running >= runner.slots) return
      const request = this.queue.dequeue(({ team }) => this.reserve.mayTakeSlot(pool, team, this.slotsFor(team)))
      if (request === undefined) return
      this.start(request, runner)
    }
  }

  private start (request: MeasuredRequest, runner: BatchRunner): void {
    const outcome = this.outcomeOf(request.team)
    this.reserve.begin(pool, request.team)
    runner.submit({
      priority: request.priority,
      promptTokens: request.kind.promptTokens,
      outputTokens: request.kind.outputTokens,
      blocks: [],
      onFirstToken: () => outcome.firstTokenMilliseconds[request.priority].push(this.clock.monotonic() - request.enqueuedAt),
      onEnd: () => {
        outcome.servedTokens += request.cost
        this.reserve.end(pool, request.team)
        this.dispatchQueued()
      }
    })
  }

  private slotsFor (team: TeamId): PoolSlots {
    const total = this.settings.slots
    return { total, free: total - this.runners.reduce((sum, { running }) => sum + running, 0), waitingSince: this.queue.waitingSince(pool, team) }
  }

  private outcomeOf (team: TeamId): TeamOutcome {
    return this.outcomes.get(team) as TeamOutcome
  }
}

const teamsFor = (slots: number): readonly SimulatedTeam[] => {
  const total = teamWeights.reduce((sum, weight) => sum + weight, 0)
  const capacity = slots * tokensPerSecondPerSlot * planLoadShare
  return teamWeights.map((weight, index) => ({ team: toTeamId(`team-${index + 1}`), weight, tokensPerSecond: capacity * weight / total }))
}

interface RunOptions {
  readonly policy: AdmissionPolicy
  readonly settings: DeploymentSettings
  readonly seed: number
  /** Multiple of its rate at which the largest team sends; 0 if it is absent. */
  readonly rateFactor: number
  readonly isLargestTeamLimited: boolean
}

const runOnce = ({ policy, settings, seed, rateFactor, isLargestTeamLimited }: RunOptions): AdmissionRun => {
  const teams = teamsFor(settings.slots)
  const run = new AdmissionRun(policy, teams, settings)
  if (isLargestTeamLimited) run.limitLargestTeam()
  run.run(seed, (team) => team === teams[0]?.team ? rateFactor : 1)
  return run
}

const withinPlanShare = (run: AdmissionRun, teams: readonly SimulatedTeam[]): number =>
  Math.min(...teams.flatMap(({ team, tokensPerSecond: rate }) => {
    const outcome = run.outcomes.get(team)
    if (outcome === undefined || outcome.offered === 0) return []
    const withinPlan = Math.min(outcome.offered, rate * runMilliseconds / millisecondsPerSecond)
    return [Math.min(1, outcome.servedTokens / withinPlan)]
  }))

/** Largest 99th percentile of the time to first token over the teams other than the largest. */
const othersTailMilliseconds = (run: AdmissionRun, priority: PriorityClass): number =>
  Math.max(...[...run.outcomes.values()].slice(1).map(({ firstTokenMilliseconds: firstToken }) => percentile(firstToken[priority], 0.99)))

const toRow = (run: AdmissionRun, options: RunOptions, scenario: string): MeasureRow => {
  const others = [...run.outcomes.values()].slice(1)
  const tokens = [...run.outcomes.values()].reduce((sum, outcome) => sum + outcome.servedTokens, 0)
  const computeMilliseconds = run.runners.reduce((sum, runner) => sum + runner.computeMilliseconds, 0)
  const requests = others.reduce((sum, { firstTokenMilliseconds: firstToken, refused, expired }) =>
    sum + firstToken.interactive.length + firstToken.batch.length + refused + expired, 0)
  return {
    decision: 'admission',
    policy: options.policy,
    scenario,
    cost: computeMilliseconds / tokens,
    tailLatencyMilliseconds: othersTailMilliseconds(run, PriorityClass.Interactive),
    sentAwayShare: null,
    worstTeamShare: withinPlanShare(run, teamsFor(options.settings.slots)),
    wrongfulRefusalShare: others.reduce((sum, { refused, expired }) => sum + refused + expired, 0) / requests,
    overspendTokens: null
  }
}

const scenarios = [
  { name: 'largest team absent', rateFactor: 0, isLargestTeamLimited: true },
  { name: 'largest team at its rate', rateFactor: 1, isLargestTeamLimited: false },
  { name: 'largest team at 10 times, behind its limit', rateFactor: floodFactor, isLargestTeamLimited: true },
  { name: 'largest team at 10 times, unlimited', rateFactor: floodFactor, isLargestTeamLimited: false }
]

export const admissionMeasure: MeasureScenario = {
  decision: 'admission',
  run: (deployment, seed) => Object.values(AdmissionPolicy).flatMap((policy) => scenarios.map(({ name, rateFactor, isLargestTeamLimited }) => {
    const options = { policy, settings: settingsOf[deployment], seed, rateFactor, isLargestTeamLimited }
    return toRow(runOnce(options), options, name)
  }))
}
