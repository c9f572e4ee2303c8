import { describe, expect, it } from 'vitest'
import { toFailureDomainId, toRegionId, toRouteName, toUpstreamId } from '@cuminvale/common'
import { UpstreamState } from './upstreamState.js'

const upstream = {
  name: toUpstreamId('u-1'),
  region: toRegionId('veneto'),
  failureDomain: toFailureDomainId('fd-1'),
  address: 'http://127.0.0.1:1',
  routes: [toRouteName('drafting')],
  models: [],
  slots: 8,
  checksFencing: false,
  leaving: false
}

const fixture = () => {
  const clock = { now: 10_000, monotonic: () => clock.now, wall: () => clock.now }
  return { clock, state: new UpstreamState(upstream, clock, () => false) }
}

describe('UpstreamState', () => {
  it('adds requests sent since the report was taken, but not those included in the report', () => {
    const { clock, state } = fixture()
    state.beginRequest()
    clock.now += 100
    state.beginRequest()
    state.report({ running: 3, queued: 0, ageMilliseconds: 50, leaving: false })
    expect(state.occupancy).toBe(4)
    state.report({ running: 4, queued: 0, ageMilliseconds: 0, leaving: false })
    expect(state.occupancy).toBe(4)
  })

  it('keeps the newer of two reports that arrive out of order', () => {
    const { state } = fixture()
    state.report({ running: 5, queued: 0, ageMilliseconds: 10, leaving: true })
    state.report({ running: 1, queued: 0, ageMilliseconds: 500, leaving: false })
    expect(state.occupancy).toBe(5)
    expect(state.leaving).toBe(true)
  })

  it('warms up after a period without reports', () => {
    const { clock, state } = fixture()
    state.report({ running: 0, queued: 0, ageMilliseconds: 0, leaving: false })
    state.warmingSince = undefined
    clock.now += 1_000
    state.report({ running: 0, queued: 0, ageMilliseconds: 0, leaving: false })
    expect(state.warmingSince).toBeUndefined()
    clock.now += 60_000
    state.report({ running: 0, queued: 0, ageMilliseconds: 0, leaving: false })
    expect(state.warmingSince).toBe(clock.now)
  })
})
