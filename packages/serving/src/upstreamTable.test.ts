import { toFailureDomainId, toUpstreamId } from '@cuminvale/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { UpstreamTable } from './upstreamTable.js'
import { ManualClock, announced, desk, engine, north, northA, part, regionOf, findService, southA } from './testSupport.js'

let clock: ManualClock
let upstreams: UpstreamTable
beforeEach(() => {
  clock = new ManualClock()
  upstreams = new UpstreamTable({ clock, regionOf, findService })
})

const noEvacuations = new Set<typeof northA>()
const usable = (): readonly string[] => upstreams.usable(engine, north).map(({ announced: { id } }) => id)

describe('UpstreamTable', () => {
  it('uses upstreams of the service and region that are neither leaving nor evacuated', () => {
    upstreams.sync([
      announced('here'), announced('there', { failureDomain: southA }), announced('other', { service: desk }),
      announced('leaving', { isLeaving: true }), announced('emptied', { failureDomain: toFailureDomainId('north-b') })
    ], new Set([toFailureDomainId('north-b')]))
    expect(usable()).toEqual(['here'])
  })

  it('treats upstreams known at startup as warm, and one that appears later as cold', () => {
    upstreams.sync([announced('first')], noEvacuations)
    upstreams.sync([announced('first'), announced('late')], noEvacuations)
    expect(upstreams.find(toUpstreamId('first'))?.isCold).toBe(false)
    expect(upstreams.find(toUpstreamId('late'))?.isCold).toBe(true)
    clock.advance(3_001)
    expect(upstreams.find(toUpstreamId('late'))?.isCold).toBe(false)
  })

  // Guards against memory that grows with each service that an entry ever named.
  it('forgets what it learned of a service that has neither an upstream nor a configuration', () => {
    const named = 'named-once' as typeof engine
    upstreams = new UpstreamTable({ clock, regionOf, findService: (service) => service === named ? undefined : findService(service) })
    upstreams.sync([announced('a', { service: named }), announced('b')], noEvacuations)
    const [forgotten, kept] = [upstreams.performanceOf(named), upstreams.performanceOf(engine)]
    upstreams.sync([], noEvacuations)
    expect(upstreams.performanceOf(engine)).toBe(kept)
    expect(upstreams.performanceOf(named)).not.toBe(forgotten)
  })

  it('does not use an upstream whose address another one has taken until it restarts', () => {
    upstreams.sync([announced('a')], noEvacuations)
    const state = upstreams.find(toUpstreamId('a'))
    if (state !== undefined) state.isReplaced = true
    upstreams.sync([announced('a')], noEvacuations)
    expect(usable()).toEqual([])
    upstreams.sync([announced('a', { startedAt: 9 })], noEvacuations)
    expect(usable()).toEqual(['a'])
  })

  // Guards against requests to an upstream that said to leave in an answer, while its record still says that it is ready.
  it('does not use an upstream that said to leave until it restarts', () => {
    upstreams.sync([announced('a')], noEvacuations)
    const state = upstreams.find(toUpstreamId('a'))
    state?.saidToLeave()
    upstreams.sync([announced('a')], noEvacuations)
    expect(usable()).toEqual([])
    upstreams.sync([announced('a', { startedAt: 9 })], noEvacuations)
    expect(usable()).toEqual(['a'])
  })

  // Guards against requests to an upstream whose record lapses and comes back while it leaves or pauses (DRAIN, BUDGET).
  it('does not forget a leave or a pause when a record is gone for a while', () => {
    upstreams.sync([announced('a'), announced('b'), announced('c')], noEvacuations)
    const [leaving, pausing] = ['a', 'b'].map((id) => upstreams.find(toUpstreamId(id)))
    leaving?.saidToLeave()
    pausing?.pauseFor(5_000)
    upstreams.sync([announced('c')], noEvacuations)
    clock.advance(1_000)
    upstreams.sync([announced('a'), announced('b'), announced('c')], noEvacuations)
    expect(usable()).toEqual(['c'])
    clock.advance(4_000)
    expect(usable()).toEqual(['c', 'b'])
    upstreams.sync([announced('c')], noEvacuations)
    upstreams.sync([announced('a', { startedAt: 9 }), announced('c')], noEvacuations)
    expect(usable()).toEqual(['c', 'a'])
  })

  it('uses an upstream again when its longest pause is over', () => {
    upstreams.sync([announced('a'), announced('b')], noEvacuations)
    upstreams.find(toUpstreamId('a'))?.pauseFor(2_500)
    upstreams.find(toUpstreamId('a'))?.pauseFor(500)
    expect([usable(), upstreams.pauseMilliseconds(engine, north)]).toEqual([['b'], 0])
    upstreams.find(toUpstreamId('b'))?.pauseFor(4_000)
    expect([usable(), upstreams.pauseMilliseconds(engine, north)]).toEqual([[], 2_500])
    clock.advance(2_499)
    expect(usable()).toEqual([])
    clock.advance(1)
    expect(usable()).toEqual(['a'])
  })

  it('discards the state of an upstream that restarted under the same id', () => {
    upstreams.sync([announced('a')], noEvacuations)
    upstreams.find(toUpstreamId('a'))?.recordParts([part('p', 100).id])
    upstreams.sync([announced('a', { startedAt: 2 })], noEvacuations)
    const state = upstreams.find(toUpstreamId('a'))
    expect(state?.isCold).toBe(true)
    expect(state?.unreadTokens(100, [part('p', 100)])).toBe(100)
  })

  it('keeps the state of an upstream that only updates its announcement', () => {
    upstreams.sync([announced('a')], noEvacuations)
    const state = upstreams.find(toUpstreamId('a'))
    upstreams.sync([announced('a', { isLeaving: true })], noEvacuations)
    expect(upstreams.find(toUpstreamId('a'))).toBe(state)
    expect(usable()).toEqual([])
  })

  it('treats the upstreams of a failure domain that returns from an evacuation as cold', () => {
    upstreams.sync([announced('a')], new Set([northA]))
    upstreams.sync([announced('a')], noEvacuations)
    expect(upstreams.find(toUpstreamId('a'))?.isCold).toBe(true)
  })

  it('treats an upstream as cold for its announced cold time and a margin', () => {
    upstreams.sync([announced('a', { coldMilliseconds: 500 })], noEvacuations)
    clock.advance(1_600)
    expect(upstreams.find(toUpstreamId('a'))?.isCold).toBe(true)
    clock.advance(200)
    expect(upstreams.find(toUpstreamId('a'))?.isCold).toBe(false)
  })

  // Guards against a cold upstream that gets the share of this VM twice in a second, once for its connection and once for its record (FAILBACK).
  it.each([
    ['names another start', 400, [announced('a', { startedAt: 2 })]],
    ['names another address', 400, [announced('a', { port: 81 })]],
    ['came back after it had lapsed', 0, [announced('a')]]
  ])('keeps the sends of the last second when the record of an upstream %s', (_case, coldMilliseconds, records) => {
    const share = 4.875
    upstreams.sync([announced('a', { coldMilliseconds })], noEvacuations)
    const before = upstreams.find(toUpstreamId('a'))
    while (before?.sends.allows(share) === true) before.recordSend(1)
    clock.advance(300)
    if (coldMilliseconds === 0) upstreams.sync([], noEvacuations)
    upstreams.sync(records, noEvacuations)
    expect(upstreams.find(toUpstreamId('a'))?.sends.allows(share)).toBe(false)
    clock.advance(900)
    expect(upstreams.find(toUpstreamId('a'))?.sends.allows(share)).toBe(true)
  })

  // Guards against more requests under way than the connections that this VM may use, while those of before the record are answered.
  it.each([
    ['names another start', [announced('a', { startedAt: 2 })]],
    ['came back after it had lapsed', [announced('a')]]
  ])('counts the requests under way when the record of an upstream %s', (_case, records) => {
    upstreams.sync([announced('a')], noEvacuations)
    const before = upstreams.find(toUpstreamId('a'))
    if (before !== undefined) before.ownInFlight += 3
    upstreams.sync([], noEvacuations)
    upstreams.sync(records, noEvacuations)
    const after = upstreams.find(toUpstreamId('a'))
    expect(after?.ownInFlight).toBe(3)
    if (before !== undefined) before.ownInFlight -= 1
    expect(after?.ownInFlight).toBe(2)
  })

  // Guards against an upstream that counts as warm since an older record of the same start came back.
  it('does not forget a cold time when the record comes back as an older one', () => {
    upstreams.sync([announced('a', { coldMilliseconds: 9_000 })], noEvacuations)
    upstreams.sync([], noEvacuations)
    upstreams.sync([announced('a')], noEvacuations)
    clock.advance(8_000)
    expect(upstreams.find(toUpstreamId('a'))?.isCold).toBe(true)
  })

  // Guards against an upstream that counts as warm since it was announced before its service was.
  it('treats an upstream as cold once its service is known, from the time at which it appeared', () => {
    let isConfigured = false
    upstreams = new UpstreamTable({ clock, regionOf, findService: (service) => isConfigured ? findService(service) : undefined })
    upstreams.sync([announced('first')], noEvacuations)
    upstreams.sync([announced('first'), announced('late')], noEvacuations)
    clock.advance(1_000)
    isConfigured = true
    upstreams.sync([announced('first'), announced('late')], noEvacuations)
    expect(upstreams.find(toUpstreamId('late'))?.isCold).toBe(true)
    clock.advance(2_001)
    expect(upstreams.find(toUpstreamId('late'))?.isCold).toBe(false)
  })

  it('counts long parts that only another upstream holds, so that needless rereads show in the metric', () => {
    upstreams.sync([announced('a'), announced('b')], noEvacuations)
    const a = upstreams.find(toUpstreamId('a'))
    upstreams.find(toUpstreamId('b'))?.recordParts([part('p', 1).id, part('short', 1).id])
    const parts = [part('p', 2_000), part('short', 100), part('new', 3_000)]
    expect(a === undefined ? undefined : upstreams.tokensHeldElsewhere(a, parts)).toBe(2_000)
    a?.recordParts([part('p', 1).id])
    expect(a === undefined ? undefined : upstreams.tokensHeldElsewhere(a, parts)).toBe(0)
  })
})
