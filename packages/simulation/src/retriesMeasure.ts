/**
 * Measures retries while half of the upstreams are lost for 30 seconds and then
 * return. Reports the ratio of offered to useful upstream load, the latency, and
 * the share of requests that are served before their deadline.
 */

import { SeededRandom, millisecondsPerSecond, pickOne, toTeamId, toUpstreamId } from '@cuminvale/common'
import { OutlierEjection, ImmediateRetries, RetryBudget, RetryDecisionKind } from '@cuminvale/routing'
import type { UpstreamId } from '@cuminvale/common'
import type { RetryPolicy } from '@cuminvale/routing'
import { MeasuredDeployment } from './measureScenario.js'
import { quantile } from './quantile.js'
import { VirtualClock } from './virtualClock.js'
import type { MeasureRow, MeasureScenario } from './measureScenario.js'

interface RetriesPolicy {
  readonly name: string
  readonly ejectsOutliers: boolean
  /** Maximum number of concurrent attempts per upstream; further attempts are refused at once. */
  readonly slots: number
  readonly retries: (clock: VirtualClock, random: SeededRandom) => RetryPolicy
}

interface MeasuredUpstream {
  readonly name: UpstreamId
  up: boolean
  /** Time at which the work queued on the upstream completes, in milliseconds. */
  busyUntil: number
  /** Attempts that hold a slot, including attempts on a lost upstream. */
  inFlight: number
}

interface MeasuredRequest {
  readonly team: number
  readonly arrivedAt: number
  attempts: number
  readonly failedOn: Set<UpstreamId>
}

const runSeconds = 120
const lossFromSeconds = 40
const lossSeconds = 30
const serviceMilliseconds = 20
const slotsPerUpstream = 16
/** Arrival rate divided by the capacity of all upstreams together. */
const offeredLoad = 0.7
const teamCount = 5
/** The largest team sends more than all others together. */
const largestTeamShare = 0.6
const deadlineMilliseconds = 4_000
const attemptTimeoutMilliseconds = 1_000
const refusalMilliseconds = 1
const tailQuantile = 0.99

const upstreamCounts = { [MeasuredDeployment.Cooperativa]: 8, [MeasuredDeployment.Talahib]: 6 }

const policies: readonly RetriesPolicy[] = [
  { name: 'three plain retries, no slots', ejectsOutliers: false, slots: Infinity, retries: () => new ImmediateRetries() },
  { name: 'three plain retries', ejectsOutliers: false, slots: slotsPerUpstream, retries: () => new ImmediateRetries() },
  { name: 'budget', ejectsOutliers: false, slots: slotsPerUpstream, retries: (clock, random) => new RetryBudget({ clock, random }) },
  { name: 'budget and ejection', ejectsOutliers: true, slots: slotsPerUpstream, retries: (clock, random) => new RetryBudget({ clock, random }) }
]

class RetriesRun {
  private readonly clock = new VirtualClock()
  private readonly random: SeededRandom
  private readonly upstreams: readonly MeasuredUpstream[]
  private readonly ejection: OutlierEjection
  private readonly retries: RetryPolicy
  private readonly latencies: number[] = []
  private readonly sent = Array.from({ length: teamCount }, () => 0)
  private readonly served = Array.from({ length: teamCount }, () => 0)
  private attempts = 0

  constructor (private readonly policy: RetriesPolicy, seed: number, count: number) {
    this.random = new SeededRandom(seed)
    this.upstreams = Array.from({ length: count }, (_, index) => ({ name: toUpstreamId(`upstream-${index}`), up: true, busyUntil: 0, inFlight: 0 }))
    this.ejection = new OutlierEjection({ clock: this.clock, upstreamCount: () => count })
    this.retries = policy.retries(this.clock, new SeededRandom(seed + 1))
  }

  run (scenario: string, outageMode: 'refuses' | 'silent'): MeasureRow {
    const ratePerMillisecond = this.upstreams.length / serviceMilliseconds * offeredLoad
    const lostUpstreams = this.upstreams.slice(0, this.upstreams.length / 2)
    this.clock.schedule(lossFromSeconds * millisecondsPerSecond, () => lostUpstreams.forEach((upstream) => { upstream.up = false }))
    this.clock.schedule((lossFromSeconds + lossSeconds) * millisecondsPerSecond, () => lostUpstreams.forEach((upstream) => this.restore(upstream)))
    this.scheduleArrival(ratePerMillisecond, outageMode)
    this.clock.advance(runSeconds * millisecondsPerSecond + deadlineMilliseconds)
    return this.toRow(scenario)
  }

  private scheduleArrival (ratePerMillisecond: number, outageMode: 'refuses' | 'silent'): void {
    const gapMilliseconds = -Math.log(1 - this.random.next()) / ratePerMillisecond
    if (this.clock.monotonic() + gapMilliseconds > runSeconds * millisecondsPerSecond) return
    this.clock.schedule(gapMilliseconds, () => {
      this.arrive(outageMode)
      this.scheduleArrival(ratePerMillisecond, outageMode)
    })
  }

  private arrive (outageMode: 'refuses' | 'silent'): void {
    const isLargest = this.random.next() < largestTeamShare
    const team = isLargest ? 0 : 1 + Math.floor(this.random.next() * (teamCount - 1))
    this.sent[team] = (this.sent[team] ?? 0) + 1
    this.retries.started(toTeamId(`team-${team}`))
    this.attempt({ team, arrivedAt: this.clock.monotonic(), attempts: 0, failedOn: new Set() }, outageMode)
  }

  private attempt (request: MeasuredRequest, outageMode: 'refuses' | 'silent'): void {
    request.attempts += 1
    const upstream = this.choose(request)
    if (upstream === undefined) return
    upstream.inFlight += 1
    this.attempts += 1
    if (upstream.up) return this.serve(request, upstream, outageMode)
    const wait = outageMode === 'refuses' ? refusalMilliseconds : attemptTimeoutMilliseconds
    this.clock.schedule(wait, () => this.fail(request, upstream, outageMode))
  }

  /** An upstream processes its queue in order, including attempts that have timed out. */
  private serve (request: MeasuredRequest, upstream: MeasuredUpstream, outageMode: 'refuses' | 'silent'): void {
    const now = this.clock.monotonic()
    const doneAt = Math.max(now, upstream.busyUntil) + serviceMilliseconds
    upstream.busyUntil = doneAt
    if (doneAt - now > attemptTimeoutMilliseconds) {
      this.clock.schedule(attemptTimeoutMilliseconds, () => this.fail(request, upstream, outageMode))
      return
    }
    this.clock.schedule(doneAt - now, () => this.finish(request, upstream))
  }

  private finish (request: MeasuredRequest, upstream: MeasuredUpstream): void {
    upstream.inFlight -= 1
    this.ejection.succeeded(upstream.name)
    const latency = this.clock.monotonic() - request.arrivedAt
    if (latency > deadlineMilliseconds) return
    this.latencies.push(latency)
    this.served[request.team] = (this.served[request.team] ?? 0) + 1
  }

  private fail (request: MeasuredRequest, upstream: MeasuredUpstream, outageMode: 'refuses' | 'silent'): void {
    upstream.inFlight -= 1
    this.ejection.failed(upstream.name)
    request.failedOn.add(upstream.name)
    const decision = this.retries.decide({
      team: toTeamId(`team-${request.team}`),
      attempts: request.attempts,
      remainingMilliseconds: request.arrivedAt + deadlineMilliseconds - this.clock.monotonic()
    })
    if (decision.kind === RetryDecisionKind.Retry) {
      this.clock.schedule(decision.delayMilliseconds, () => this.attempt(request, outageMode))
    }
  }

  /** Picks an upstream with a free slot, with preference for upstreams on which the request has not failed. */
  private choose (request: MeasuredRequest): MeasuredUpstream | undefined {
    const available = this.upstreams.filter(({ name, inFlight }) =>
      inFlight < this.policy.slots && !(this.policy.ejectsOutliers && this.ejection.isEjected(name)))
    const untried = available.filter(({ name }) => !request.failedOn.has(name))
    return pickOne(untried.length > 0 ? untried : available, this.random)
  }

  private restore (upstream: MeasuredUpstream): void {
    upstream.up = true
    upstream.busyUntil = this.clock.monotonic()
  }

  private toRow (scenario: string): MeasureRow {
    const total = this.sent.reduce((sum, count) => sum + count, 0)
    const useful = this.served.reduce((sum, count) => sum + count, 0)
    return {
      decision: 'retries',
      policy: this.policy.name,
      scenario,
      cost: this.attempts / useful,
      tailLatencyMilliseconds: quantile(this.latencies, tailQuantile),
      sentAwayShare: null,
      worstTeamShare: Math.min(...this.sent.map((count, team) => count === 0 ? 1 : (this.served[team] ?? 0) / count)),
      wrongfulRefusalShare: 1 - useful / total,
      overspendTokens: null
    }
  }
}

/** `cost` is the ratio of offered to useful upstream load, in attempts per served request. */
export const retriesMeasure: MeasureScenario = {
  decision: 'retries',
  run: (deployment, seed) => policies.flatMap((policy) => (['refuses', 'silent'] as const).map((outageMode) =>
    new RetriesRun(policy, seed, upstreamCounts[deployment]).run(`half of the upstreams lost for 30 s, a lost one ${outageMode}`, outageMode)))
}
