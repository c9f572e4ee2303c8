import { SeededRandom, toRegionId, toUpstreamId } from '@cuminvale/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { StartSign } from './upstreamStart.js'
import { PlacementChooser } from './placement.js'
import { predict } from './prediction.js'
import { RegionForecasts } from './regionForecasts.js'
import { UpstreamTable } from './upstreamTable.js'
import { ManualClock, admitted, announced, desk, deskService, engine, head, north, northA, part, regionOf, findService, south } from './testSupport.js'
import type { RegionId, UpstreamId } from '@cuminvale/common'
import type { Placement, PlacementOptions, PlacementQuery } from './placement.js'

let clock: ManualClock
let upstreams: UpstreamTable
let forecasts: RegionForecasts
let chooser: PlacementChooser
let reachable: readonly RegionId[]
beforeEach(() => {
  clock = new ManualClock()
  reachable = [south]
  upstreams = new UpstreamTable({ clock, regionOf, findService })
  forecasts = new RegionForecasts(clock)
  chooser = new PlacementChooser(options())
})

const options = (): PlacementOptions => ({
  clock,
  random: new SeededRandom(5),
  region: north,
  upstreams,
  forecasts,
  softwareVersionOf: ({ announced: { softwareVersion } }) => softwareVersion,
  isReachedByNeighbours: () => false,
  brittleSharing: () => ({ count: 1, draw: 0, partOf: (total) => total }),
  findService,
  reachableRegions: () => reachable,
  allowsStart: (_service, { isCold, sends }) => !isCold || sends.allows(4),
  connectionLimit: () => 60,
  roundTripMilliseconds: () => 110
})

const query = (changes: Partial<PlacementQuery> = {}): PlacementQuery => ({
  request: admitted(), remainingMilliseconds: 4_000, objectiveRemainingMilliseconds: 800, mayForward: true, excludedUpstreams: new Set(), excludedRegions: new Set(), ...changes
})
const targetOf = (placement: Placement): string =>
  placement.kind === 'run' ? placement.upstream.announced.id : placement.kind === 'forward' ? `to ${placement.region}` : 'refused'
const idleForecasts = new Map([[engine, { upstreams: 2, waitMilliseconds: 0, freeSlots: 128 }], [desk, { upstreams: 1, waitMilliseconds: 0, freeSlots: 6 }]])
const upstreamState = (id: string): NonNullable<ReturnType<UpstreamTable['find']>> => {
  const found = upstreams.find(toUpstreamId(id))
  if (found === undefined) throw new Error(`no upstream ${id}`)
  return found
}

describe('PlacementChooser', () => {
  it('runs a request in its own region while upstreams there are free', () => {
    upstreams.sync([announced('a')], new Set())
    forecasts.recordReport(south, idleForecasts)
    expect(targetOf(chooser.choose(query()))).toBe('a')
  })

  it('never places a request outside its permitted regions', () => {
    upstreams.sync([announced('a')], new Set())
    forecasts.recordReport(south, idleForecasts)
    const onlySouth = query({ request: admitted({ regions: new Set([south]) }) })
    const onlyNorth = query({ request: admitted({ regions: new Set([north]) }) })
    expect(targetOf(chooser.choose(onlySouth))).toBe(`to ${south}`)
    upstreamState('a').ownPendingTokens = 10_000_000
    expect(targetOf(chooser.choose(onlyNorth))).toBe('refused')
    expect(targetOf(chooser.choose({ ...onlySouth, mayForward: false }))).toBe('refused')
  })

  it('forwards requests in a regional peak if another region would answer sooner', () => {
    upstreams.sync([announced('a'), announced('b')], new Set())
    forecasts.recordReport(south, idleForecasts)
    upstreamState('a').ownPendingTokens = 30_000
    upstreamState('b').ownPendingTokens = 30_000
    expect(targetOf(chooser.choose(query()))).toBe(`to ${south}`)
  })

  it('stops forwarding before its forwarded requests overload another region', () => {
    upstreams.sync([announced('a')], new Set())
    forecasts.recordReport(south, new Map([[engine, { upstreams: 1, waitMilliseconds: 0, freeSlots: 1 }]]))
    upstreamState('a').ownPendingTokens = 30_000
    const request = admitted({ head: head({ tokens: { prompt: 3_000, output: 100 } }) })
    let sentAway = 0
    for (let count = 0; count < 100; count += 1) {
      const placement = chooser.choose(query({ request }))
      if (placement.kind !== 'forward') break
      forecasts.forwarded(placement.region, engine, placement.workMilliseconds)
      sentAway += 1
    }
    expect(sentAway).toBeGreaterThan(1)
    expect(sentAway).toBeLessThan(30)
  })

  // Guards against refusals while upstreams elsewhere are idle: each forward was counted once more for each of 15 neighbours, and 212 of these 474 requests were served.
  it('serves a steady flow of short requests in an idle region, whatever the number of neighbours', () => {
    const crowded = new RegionForecasts(clock, () => 15)
    const crowdedChooser = new PlacementChooser({ ...options(), forecasts: crowded })
    const request = admitted({ head: head({ tokens: { prompt: 309, output: 10 } }) })
    const answers: Array<() => void> = []
    let served = 0
    for (let count = 0; count < 474; count += 1) {
      if (count % 16 === 0) crowded.recordReport(south, new Map([[engine, { upstreams: 1, waitMilliseconds: 0, freeSlots: 12 }]]))
      const placement = crowdedChooser.choose(query({ request, objectiveRemainingMilliseconds: 510 }))
      if (placement.kind === 'forward') {
        crowded.forwarded(south, engine, placement.workMilliseconds)
        answers.push(() => crowded.answered(south, engine, placement.workMilliseconds))
        served += 1
      } else {
        answers.push(() => { /* not sent */ })
      }
      if (answers.length > 13) answers.shift()?.()
      clock.advance(12.5)
    }
    expect(served).toBe(474)
  })

  it('prefers the upstream that holds the shared part of a prompt', () => {
    upstreams.sync([announced('a'), announced('b'), announced('c')], new Set())
    const parts = [part('catalogue', 13_000), part('own', 3_000)]
    upstreamState('b').recordParts([parts[0]?.id ?? part('', 0).id])
    const request = admitted({ head: head({ tokens: { prompt: 16_000, output: 100 }, parts }) })
    for (let draw = 0; draw < 20; draw += 1) expect(targetOf(chooser.choose(query({ request })))).toBe('b')
  })

  it('forwards a prompt to the region that holds its shared part instead of having the part read again', () => {
    upstreams.sync([announced('a'), announced('b')], new Set())
    forecasts.recordReport(south, idleForecasts)
    const parts = [part('catalogue', 13_000), part('own', 3_000)]
    const request = admitted({ head: head({ tokens: { prompt: 16_000, output: 100 }, parts }) })
    expect(chooser.choose(query({ request })).kind).toBe('run')
    forecasts.recordParts(south, parts.slice(0, 1).map(({ id }) => id))
    expect(targetOf(chooser.choose(query({ request })))).toBe(`to ${south}`)
    clock.advance(12_001)
    forecasts.recordReport(south, idleForecasts)
    expect(chooser.choose(query({ request })).kind).toBe('run')
  })

  it('does not forward a prompt of a long part that no region holds, as it has to be read anywhere', () => {
    upstreams.sync([announced('a'), announced('b')], new Set())
    forecasts.recordReport(south, idleForecasts)
    const request = admitted({ head: head({ tokens: { prompt: 42_000, output: 100 }, parts: [part('catalogue', 39_000), part('own', 3_000)] }) })
    const patient = { objectiveRemainingMilliseconds: 5_000, remainingMilliseconds: 10_000 }
    for (let draw = 0; draw < 20; draw += 1) expect(chooser.choose(query({ request, ...patient })).kind).toBe('run')
  })

  it('sends the first requests with the same part to the same upstream', () => {
    reachable = []
    upstreams.sync([announced('a'), announced('b'), announced('c')], new Set())
    const request = admitted({ head: head({ tokens: { prompt: 16_000, output: 100 }, parts: [part('new', 13_000), part('own', 3_000)] }) })
    const targets = new Set(Array.from({ length: 20 }, () => targetOf(chooser.choose(query({ request })))))
    expect(targets.size).toBe(1)
  })

  it('keeps within its share of a cold upstream’s rate', () => {
    upstreams.sync([announced('a')], new Set())
    upstreamState('a').start.markCold(3_000, StartSign.Announced)
    reachable = []
    let sent = 0
    for (let request = 0; request < 20; request += 1) {
      const placement = chooser.choose(query())
      if (placement.kind !== 'run') break
      placement.upstream.sends.sent()
      sent += 1
    }
    expect(sent).toBe(4)
  })

  it('skips upstreams that were tried, and one that keeps failing while others are left', () => {
    upstreams.sync([announced('a'), announced('b'), announced('c')], new Set())
    upstreamState('a').failed(3)
    const excluded = new Set<UpstreamId>([toUpstreamId('b')])
    for (let draw = 0; draw < 10; draw += 1) expect(targetOf(chooser.choose(query({ excludedUpstreams: excluded })))).toBe('c')
  })

  it('refuses a request at once if it could not start in time, with a time to retry', () => {
    upstreams.sync([announced('a', { service: desk, slots: 6 })], new Set())
    reachable = []
    upstreamState('a').ownInFlight = 59
    const placement = chooser.choose(query({ request: admitted({ service: desk }), remainingMilliseconds: 300 }))
    expect(placement).toMatchObject({ kind: 'refuse' })
    expect(placement.kind === 'refuse' ? placement.retryAfterMilliseconds : 0).toBeGreaterThanOrEqual(100)
  })

  // Guards against requests that use capacity for an answer that comes after the deadline.
  it('refuses a request that would start in time but not end in it, and starts it where nothing waits', () => {
    upstreams.sync([announced('a', { service: desk, slots: 6 })], new Set())
    reachable = []
    const request = admitted({ service: desk })
    const state = upstreamState('a')
    for (let answer = 0; answer < 100; answer += 1) state.performance.record({ prediction: predict(state, deskService, request), observedMilliseconds: 180 })
    expect(chooser.choose(query({ request, remainingMilliseconds: 100 })).kind).toBe('run')
    upstreamState('a').ownInFlight = 20
    expect(chooser.choose(query({ request, remainingMilliseconds: 600 }))).toMatchObject({ kind: 'refuse', cause: 'deadline' })
    expect(chooser.choose(query({ request, remainingMilliseconds: 700 })).kind).toBe('run')
  })

  it('refuses a request at once while all upstreams want none, and says when the first takes some again', () => {
    upstreams.sync([announced('a'), announced('b')], new Set())
    upstreamState('a').pauseFor(9_000)
    upstreamState('b').pauseFor(5_000)
    const placement = chooser.choose(query({ mayForward: false }))
    expect(placement).toMatchObject({ kind: 'refuse', isPaused: true })
    const retryAfter = placement.kind === 'refuse' ? placement.retryAfterMilliseconds : 0
    expect(retryAfter).toBeGreaterThanOrEqual(5_000)
    expect(retryAfter).toBeLessThan(5_500)
  })

  it('sends no more than the limit that an upstream names, and refuses the rest at once if there is no other one', () => {
    upstreams.sync([announced('a'), announced('b')], new Set())
    upstreamState('a').sendLimit.name(2)
    for (let draw = 0; draw < 10; draw += 1) expect(targetOf(chooser.choose(query({ mayForward: false })))).toBe('b')
    upstreamState('b').sendLimit.name(2)
    clock.advance(500)
    const placement = chooser.choose(query({ mayForward: false }))
    if (placement.kind === 'run') placement.upstream.recordSend(0)
    expect(placement.kind).toBe('run')
    upstreamState('a').sendLimit.recordOtherSends(1)
    upstreamState('b').sendLimit.recordOtherSends(1)
    const returns = [1, 2, 3].map(() => {
      const refusal = chooser.choose(query({ mayForward: false }))
      return refusal.kind === 'refuse' && refusal.isPaused ? refusal.retryAfterMilliseconds : 0
    })
    // They return one by one, at the limit of both.
    expect(returns).toEqual([500, 750, 1_000])
  })

  it('starts the requests of an excessive burst that will be on time, and refuses the rest at once', () => {
    upstreams.sync([announced('a')], new Set())
    reachable = []
    const request = admitted({ head: head({ tokens: { prompt: 400, output: 50 } }) })
    let started = 0
    let refused = 0
    for (let count = 0; count < 400; count += 1) {
      const placement = chooser.choose(query({ request, objectiveRemainingMilliseconds: 600 }))
      if (placement.kind === 'run') {
        expect(placement.prediction.milliseconds).toBeLessThanOrEqual(600)
        placement.upstream.ownInFlight += 1
        placement.upstream.ownPendingTokens += placement.prediction.unreadTokens
        started += 1
      } else {
        refused += 1
      }
    }
    expect(started).toBeGreaterThan(40)
    expect(refused).toBeGreaterThan(200)
  })

  it('starts a late request while the queue is short, and refuses it while the queue is long', () => {
    upstreams.sync([announced('a')], new Set())
    reachable = []
    expect(chooser.choose(query({ objectiveRemainingMilliseconds: -200 })).kind).toBe('run')
    upstreamState('a').ownPendingTokens = 40_000
    expect(chooser.choose(query({ objectiveRemainingMilliseconds: -200 })).kind).toBe('refuse')
  })

  // Guards against less urgent requests of another region that take the place of this region's more urgent ones.
  it('lets forwarded requests yield to more urgent ones like those of its own callers', () => {
    upstreams.sync([announced('a')], new Set())
    upstreamState('a').ownPendingTokens = 43_000
    const kindOf = (changes: Partial<PlacementQuery>, yieldsToMoreUrgent: boolean): string => chooser.choose(query({ request: admitted({ yieldsToMoreUrgent }), ...changes })).kind
    expect(kindOf({ mayForward: false }, false)).toBe('run')
    expect(kindOf({ mayForward: false }, true)).toBe('refuse')
  })

  // Guards against an overload that is unknown elsewhere until its queues are long.
  it('counts forwarded and refused requests as need of its region, but not those that may run nowhere else', () => {
    upstreams.sync([announced('a')], new Set())
    upstreamState('a').ownPendingTokens = 10_000_000
    chooser.choose(query({ request: admitted({ regions: new Set([north]) }) }))
    chooser.choose(query({ mayForward: false }))
    expect(forecasts.demand.needPerSecond(engine)).toBe(0)
    reachable = []
    const request = admitted({ head: head({ tokens: { prompt: 3_000, output: 10 } }) })
    chooser.choose(query({ request }))
    const refused = forecasts.demand.needPerSecond(engine)
    expect(refused).toBeGreaterThan(50)
    reachable = [south]
    forecasts.recordReport(south, idleForecasts)
    expect(chooser.choose(query({ request })).kind).toBe('forward')
    expect(forecasts.demand.needPerSecond(engine)).toBeCloseTo(refused * 2)
  })

  // Guards against a request that is refused while the share of the second-best region is free.
  it('takes the second-best region if the share of the best one is used up', () => {
    upstreams.sync([announced('a')], new Set())
    upstreamState('a').ownPendingTokens = 10_000_000
    const west = toRegionId('west')
    reachable = [south, west]
    const room = (roomPerSecond: number, waitMilliseconds: number): Parameters<RegionForecasts['recordReport']>[1] => new Map([[engine, { upstreams: 2, waitMilliseconds, freeSlots: 9, roomAndNeed: { roomPerSecond, needPerSecond: 0 } }]])
    forecasts.recordReport(south, room(100, 0))
    forecasts.recordReport(west, room(100, 100))
    const targets = Array.from({ length: 3 }, () => {
      const placement = chooser.choose(query())
      if (placement.kind === 'forward') forecasts.forwarded(placement.region, engine, 200)
      return targetOf(placement)
    })
    expect(targets).toEqual([`to ${south}`, `to ${west}`, 'refused'])
    expect(targetOf(chooser.choose(query({ request: admitted({ regions: new Set([south]) }) })))).toBe(`to ${south}`)
  })

  it('spreads the retry times of refused requests', () => {
    upstreams.sync([announced('a')], new Set())
    reachable = []
    upstreamState('a').ownPendingTokens = 100_000
    const times = Array.from({ length: 50 }, () => {
      const placement = chooser.choose(query())
      return placement.kind === 'refuse' ? placement.retryAfterMilliseconds : 0
    })
    expect(Math.max(...times)).toBeGreaterThan(Math.min(...times) * 1.5)
  })

  it('sends nothing to an evacuated failure domain', () => {
    upstreams.sync([announced('a')], new Set([northA]))
    reachable = []
    expect(targetOf(chooser.choose(query()))).toBe('refused')
  })
})
