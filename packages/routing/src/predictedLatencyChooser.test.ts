import { describe, expect, it } from 'vitest'
import { SeededRandom, toFailureDomainId, toModelName, toRegionId, toRouteName, toTeamId, toUpstreamId, toVmId } from '@cuminvale/common'
import { SpilloverWhenFaster } from './spilloverWhenFaster.js'
import { LinkBudget } from './linkBudget.js'
import { PredictedLatencyChooser } from './predictedLatencyChooser.js'
import { FixedBlockHasher } from './prefixHashers.js'
import { PrefixCacheIndex } from './prefixCacheIndex.js'
import { RoutingChoiceKind } from './types.js'
import type { RoutingRequest, RoutingSituation, UpstreamView } from './types.js'

const region = toRegionId('veneto')
const otherRegion = toRegionId('emilia')
const domain = toFailureDomainId('fd-1')
const model = toModelName('writer')

const view = (name: string, changes: Partial<UpstreamView> = {}): UpstreamView => ({
  upstream: {
    name: toUpstreamId(name),
    region,
    failureDomain: domain,
    address: 'http://127.0.0.1:1',
    routes: [toRouteName('drafting')],
    models: [model],
    slots: 32,
    checksFencing: false,
    leaving: false
  },
  inFlight: 0,
  reportedRunning: 0,
  reportedQueued: 0,
  reportAgeMilliseconds: 0,
  occupancy: 0,
  leaving: false,
  warmingSince: undefined,
  loaded: undefined,
  ejected: false,
  ...changes
})

const request = (changes: Partial<RoutingRequest> = {}): RoutingRequest => ({
  team: toTeamId('binders'),
  route: toRouteName('drafting'),
  model,
  allowedRegions: [region, otherRegion],
  mayCrossBorder: true,
  excluded: new Set(),
  promptTokens: 1_024,
  outputTokens: 100,
  prompt: 'x'.repeat(4_096),
  ...changes
})

const fixture = () => {
  const clock = { now: 0, monotonic: () => clock.now, wall: () => clock.now }
  const random = new SeededRandom(1)
  const prefixes = new PrefixCacheIndex({ clock, hasher: new FixedBlockHasher(), capacity: 1_000 })
  const link = new LinkBudget({ clock, linkMegabitsPerSecond: 100, share: 0.5, vmCount: () => 1 })
  const away = new SpilloverWhenFaster({ random, linkBudget: link, gainFactor: 1.5 })
  const chooser = new PredictedLatencyChooser({ clock, random, failureDomain: domain, spillover: away, prefixCacheIndex: prefixes, vmCount: () => 1 })
  return { clock, link, prefixes, chooser }
}

const situation = (upstreams: readonly UpstreamView[], changes: Partial<RoutingSituation> = {}): RoutingSituation => ({
  region, upstreams, remoteRegions: [], localWaitMilliseconds: 0, ...changes
})

const remote = (freeSlots: number) => [{ region: otherRegion, vms: [toVmId('gateway-9')], freeSlots, latencyMilliseconds: 55 }]
const full = view('full', { occupancy: 32 })

describe('PredictedLatencyChooser', () => {
  it.each<[string, Partial<UpstreamView>]>([
    ['is leaving', { leaving: true }],
    ['is ejected', { ejected: true }],
    ['is full', { occupancy: 32 }],
    ['has not loaded the model', { loaded: [] }],
    ['is much busier', { occupancy: 30 }]
  ])('skips an upstream that %s', (_, changes) => {
    const { chooser } = fixture()
    for (let index = 0; index < 20; index += 1) {
      const choice = chooser.choose(request(), situation([view('worse', changes), view('better')]))
      expect(choice).toMatchObject({ kind: RoutingChoiceKind.Run, upstream: 'better' })
    }
  })

  it('spreads requests over equal upstreams at random', () => {
    const { chooser } = fixture()
    const chosen = Array.from({ length: 30 }, () => chooser.choose(request(), situation([view('a'), view('b')])))
    expect(new Set(chosen.map((choice) => choice.kind === RoutingChoiceKind.Run && choice.upstream)).size).toBe(2)
  })

  it('prefers the upstream that has the prompt cached, until its cache is cleared', () => {
    const { chooser, prefixes } = fixture()
    prefixes.applyEvents(toUpstreamId('a'), new FixedBlockHasher().hashPrefixes(request().prompt)
      .map(({ digest }, index) => ({ sequence: index + 1, kind: 'stored' as const, prefix: digest })))
    expect(chooser.choose(request(), situation([view('a', { occupancy: 8 }), view('b')]))).toMatchObject({ upstream: 'a' })
    prefixes.applyEvents(toUpstreamId('a'), [{ sequence: 40, kind: 'cleared', prefix: '' }])
    expect(prefixes.gaps).toBe(1)
    expect(chooser.choose(request(), situation([view('a', { occupancy: 8 }), view('b')]))).toMatchObject({ upstream: 'b' })
  })

  it('limits a returning upstream to a part of its slots', () => {
    const { clock, chooser } = fixture()
    const returning = view('returning', { warmingSince: 0, occupancy: 10 })
    expect(chooser.choose(request(), situation([returning])).kind).toBe(RoutingChoiceKind.Wait)
    clock.now = 10_000
    expect(chooser.choose(request(), situation([returning])).kind).toBe(RoutingChoiceKind.Run)
  })
})

describe('spillover', () => {
  it.each<[string, Partial<RoutingRequest>, Partial<RoutingSituation>, RoutingChoice['kind']]>([
    ['waits if the local wait is short', {}, { localWaitMilliseconds: 100, remoteRegions: remote(5) }, 'wait'],
    ['forwards if the local wait is long', {}, { localWaitMilliseconds: 5_000, remoteRegions: remote(5) }, 'forward'],
    ['waits if the other region is full', {}, { localWaitMilliseconds: 5_000, remoteRegions: remote(0) }, 'wait'],
    ['waits if its plan permits only this region', { allowedRegions: [region] }, { localWaitMilliseconds: 5_000, remoteRegions: remote(5) }, 'wait'],
    ['waits after its one border crossing', { mayCrossBorder: false }, { localWaitMilliseconds: 5_000, remoteRegions: remote(5) }, 'wait']
  ])('%s', (_, changes, situationChanges, expected) => {
    const { chooser } = fixture()
    expect(chooser.choose(request(changes), situation([full], situationChanges)).kind).toBe(expected)
  })

  it('waits while the link budget is used up', () => {
    const { clock, link, chooser } = fixture()
    link.spend(otherRegion, 10_000_000)
    const situationChanges = { localWaitMilliseconds: 5_000, remoteRegions: remote(5) }
    expect(chooser.choose(request(), situation([full], situationChanges)).kind).toBe(RoutingChoiceKind.Wait)
    clock.now = 60_000
    expect(chooser.choose(request(), situation([full], situationChanges)).kind).toBe(RoutingChoiceKind.Forward)
  })
})

type RoutingChoice = ReturnType<PredictedLatencyChooser['choose']>
