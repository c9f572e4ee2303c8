/**
 * A small model of a region for tests of admission control: callers of several
 * teams and ranks that retry, VMs that choose by reports of a certain age, and
 * plain upstreams that run one request per slot. Times are in milliseconds.
 */

import { ManualClock, SeededRandom, toIncarnationId, toTeamId, toVmId } from '@cuminvale/common'
import { PlacementChooser } from './placement.js'
import { RegionForecasts } from './regionForecasts.js'
import { RegionUsage } from './regionUsage.js'
import { RoomAllocator } from './roomAllocator.js'
import { TeamRateLimiter } from './teamRateLimiter.js'
import { UpstreamTable } from './upstreamTable.js'
import { admitted, announced, desk, deskService, north, regionOf, route, team } from './testSupport.js'
import type { Prediction } from './prediction.js'
import type { UpstreamState } from './upstreamState.js'

export interface ModelledCallers {
  readonly team: string
  readonly rank: number
  /** Requests per second at a time. */
  readonly perSecond: (seconds: number) => number
  /** VMs that the callers use; all if absent. */
  readonly vms?: number
  /** 500 if absent. */
  readonly objectiveMilliseconds?: number
}

export interface RoomModelOptions {
  readonly callers: readonly ModelledCallers[]
  readonly seconds: number
  readonly seed: number
  /** Whether the VMs' reports of spending stop halfway. */
  readonly reportsStop?: boolean
}

export interface CallerOutcome { asked: number, onTime: number, served: number, refusals: number, idleRefusals: number }

interface Call { readonly callers: ModelledCallers, readonly index: number, readonly bornAt: number, attempts: number }

const vmCount = 20
const upstreamCount = 5
const slots = 6
const runMilliseconds = 60
const reportMilliseconds = 200
const deadlineMilliseconds = 4_000
const usualObjectiveMilliseconds = 500
const maximumAttempts = 4
const warmUpMilliseconds = 3_000
/** Requests per second that all upstreams can serve. */
export const modelCapacity = upstreamCount * slots * 1_000 / runMilliseconds

export const playRoomModel = ({ callers, seconds, seed, reportsStop = false }: RoomModelOptions): readonly CallerOutcome[] => {
  const clock = new ManualClock()
  const random = new SeededRandom(seed)
  const names = Array.from({ length: upstreamCount }, (_, index) => `u-${index}`)
  const queues = new Map(names.map((name) => [name, { busyUntil: Array.from({ length: slots }, () => 0) }] as const))
  const vms = Array.from({ length: vmCount }, () => createVm(clock, random, names))
  const outcomes = callers.map(() => ({ asked: 0, onTime: 0, served: 0, refusals: 0, idleRefusals: 0 }))
  const due = new Map<number, Array<() => void>>()
  const at = (time: number, action: () => void): void => { due.set(Math.ceil(time), [...due.get(Math.ceil(time)) ?? [], action]) }
  const serve = (upstream: UpstreamState, { bornAt, index }: Call, now: number, prediction: Prediction): void => {
    const queue = queues.get(upstream.announced.id)
    if (queue === undefined) return
    const slot = queue.busyUntil.indexOf(Math.min(...queue.busyUntil))
    const endsAt = Math.max(now, queue.busyUntil[slot] ?? 0) + runMilliseconds * (0.5 + random.next())
    queue.busyUntil[slot] = endsAt
    upstream.recordSend(0)
    upstream.ownInFlight += 1
    at(endsAt, () => {
      upstream.ownInFlight -= 1
      upstream.performance.record({ prediction, observedMilliseconds: endsAt - now })
      const outcome = outcomes[index]
      if (outcome === undefined || bornAt < warmUpMilliseconds) return
      outcome.served += 1
      if (endsAt - bornAt <= (callers[index]?.objectiveMilliseconds ?? usualObjectiveMilliseconds)) outcome.onTime += 1
    })
  }
  const ask = (call: Call, now: number): void => {
    const vm = vms[Math.floor(random.next() * (call.callers.vms ?? vmCount))]
    const outcome = outcomes[call.index]
    const objectiveMilliseconds = call.callers.objectiveMilliseconds ?? usualObjectiveMilliseconds
    const remainingMilliseconds = call.bornAt + deadlineMilliseconds - now
    if (vm === undefined || outcome === undefined || remainingMilliseconds <= 0) return
    const caller = team({ id: toTeamId(call.callers.team), countsTokens: false, ratePerSecond: 1e6 })
    call.attempts += 1
    vm.limiter.trySpend(caller, 1)
    const placement = vm.chooser.choose({
      request: admitted({ service: desk, team: caller, charge: 1, priority: call.callers.rank, route: route({ objectiveMilliseconds, priority: call.callers.rank }) }),
      remainingMilliseconds,
      objectiveRemainingMilliseconds: call.bornAt + objectiveMilliseconds - now,
      mayForward: true,
      excludedUpstreams: new Set(),
      excludedRegions: new Set()
    })
    if (placement.kind === 'run') return serve(placement.upstream, call, now, placement.prediction)
    vm.limiter.refund(caller, 1)
    if (placement.kind !== 'refuse') return
    if (call.bornAt >= warmUpMilliseconds) outcome.refusals += 1
    if ([...queues.values()].some(({ busyUntil }) => busyUntil.some((until) => until <= now - reportMilliseconds))) outcome.idleRefusals += 1
    if (call.attempts < maximumAttempts) at(now + placement.retryAfterMilliseconds, () => ask(call, Math.ceil(now + placement.retryAfterMilliseconds)))
  }
  for (let now = 0; now < seconds * 1_000 + deadlineMilliseconds; now += 1) {
    clock.advance(1)
    if (now % reportMilliseconds === 0) exchangeReports(vms, names, !reportsStop || now < seconds * 500)
    for (const action of due.get(now) ?? []) action()
    due.delete(now)
    if (now >= seconds * 1_000) continue
    callers.forEach((caller, index) => {
      for (let expected = caller.perSecond(now / 1_000) / 1_000; expected > 0; expected -= 1) {
        if (random.next() >= expected) continue
        const outcome = outcomes[index]
        if (outcome !== undefined && now >= warmUpMilliseconds) outcome.asked += 1
        ask({ callers: caller, index, bornAt: now, attempts: 0 }, now)
      }
    })
  }
  return outcomes
}

type ModelVm = ReturnType<typeof createVm>

const createVm = (clock: ManualClock, random: SeededRandom, names: readonly string[]) => {
  const upstreams = new UpstreamTable({ clock, regionOf, findService: () => deskService, neighbourReports: { neighbourCount: vmCount - 1, intervalMilliseconds: reportMilliseconds } })
  upstreams.sync(names.map((name) => announced(name, { service: desk, slots })), new Set())
  const limiter = new TeamRateLimiter({ clock, heardShare: () => 1 })
  const usage = new RegionUsage({ clock, ownSpending: () => limiter.spending(), regionSpending: () => limiter.regionSpending() })
  const chooser = new PlacementChooser({
    clock,
    random,
    region: north,
    upstreams,
    forecasts: new RegionForecasts(clock),
    softwareVersionOf: () => undefined,
    isReachedByNeighbours: () => false,
    brittleSharing: () => ({ count: 1, draw: 0, partOf: (total) => total }),
    findService: () => deskService,
    reachableRegions: () => [],
    allowsStart: (_service, { isCold, sends }) => !isCold || sends.allows(1),
    connectionLimit: () => Infinity,
    roundTripMilliseconds: () => 0,
    admission: new RoomAllocator({ clock, random, regionMultiple: (id, charge) => usage.multiple(id, charge) })
  })
  return { upstreams, limiter, chooser }
}

/** Each VM learns the others' load and, unless these reports have stopped, their spending. */
const exchangeReports = (vms: readonly ModelVm[], names: readonly string[], hasSpending: boolean): void => {
  for (const name of names) {
    const states = vms.flatMap(({ upstreams }) => [...upstreams.all].filter(({ announced: { id } }) => id === name))
    const inFlight = states.reduce((sum, { ownInFlight }) => sum + ownInFlight, 0)
    for (const state of states) state.neighbourLoad = { inFlight: inFlight - state.ownInFlight, pendingTokens: 0 }
  }
  if (!hasSpending) return
  const spent = vms.map(({ limiter }) => new Map(limiter.spending()))
  vms.forEach(({ limiter }, own) => spent.forEach((sums, other) => {
    if (other !== own) limiter.recordReport({ vm: toVmId(`vm-${other}`), incarnation: toIncarnationId(`i-${other}`), spent: sums, isComplete: true })
  }))
}
