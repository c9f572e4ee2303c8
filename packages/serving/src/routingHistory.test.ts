import { describe, expect, it } from 'vitest'
import { RouteTable } from './routeTable.js'
import { SoftwareVersionHistory, versionLagMilliseconds } from './softwareVersionHistory.js'
import { ManualClock, announced, desk, engine, route } from './testSupport.js'
import type { Route, SoftwareVersion } from './types.js'

const shortMilliseconds = 4_000
const streams = route({ host: 'a.example', pathPrefix: '/s/', timeoutMilliseconds: shortMilliseconds })
const reads = route({ host: 'b.example', pathPrefix: '/r/', targets: [{ service: desk, weight: 1 }] })
const lifetimeMilliseconds = 2 * shortMilliseconds
const provenMilliseconds = lifetimeMilliseconds + versionLagMilliseconds

/** The version that is proven some time after a change of the routes, which were known for long before. */
const provenAfter = (before: readonly Route[], after: readonly Route[], milliseconds: number): SoftwareVersion | undefined => {
  const clock = new ManualClock()
  const history = new SoftwareVersionHistory(clock)
  const pass = (duration: number): void => {
    for (let passed = 0; passed < duration; passed += 100) {
      clock.advance(100)
      history.observe({ recordAgeMilliseconds: 0, silentSince: undefined })
    }
  }
  history.sync([announced('a')], new RouteTable(before))
  pass(60_000)
  history.sync([announced('a')], new RouteTable(after))
  pass(milliseconds)
  return history.provenVersion({ host: streams.host, path: '/s/x/1', service: engine }, lifetimeMilliseconds)
}

describe('SoftwareVersionHistory, when the routing changes', () => {
  // Guards against streams that are told to other VMs, or can't be taken up, since something else was changed.
  it.each([
    ['the time of another service', [streams, reads], [streams, { ...reads, timeoutMilliseconds: 900 }]],
    ['a route of another host and service', [streams, reads], [streams]],
    ['a route with another prefix', [streams], [streams, route({ ...streams, pathPrefix: '/t/' }), { ...reads, host: streams.host, pathPrefix: '/s/y/' }]],
    ['its route, which it didn’t have before', [reads], [streams, reads]],
    ['a longer time', [{ ...streams, timeoutMilliseconds: 1_000 }], [streams]]
  ])('proves a version at once after a change of %s', (_, before, after) => {
    expect(provenAfter(before, after, 0)).toBe('v1')
  })

  // Guards against a stream that is joined from two versions, since it began under a routing that is in force no longer.
  it.each([
    ['its path went to another service', [route({ ...streams, targets: [{ service: desk, weight: 1 }] })], [streams]],
    ['a longer prefix went to another service', [streams, { ...reads, host: streams.host, pathPrefix: '/s/x/', timeoutMilliseconds: shortMilliseconds }], [streams]]
  ])('proves none until streams have ended that began when %s', (_, before, after) => {
    expect(provenAfter(before, after, provenMilliseconds - 200)).toBeUndefined()
    expect(provenAfter(before, after, provenMilliseconds + 200)).toBe('v1')
  })

  it('looks back for as long as streams last that began before the time of their route was shortened', () => {
    const longMilliseconds = 35_000
    const before = [{ ...streams, timeoutMilliseconds: longMilliseconds }]
    expect(provenAfter(before, [streams], 0)).toBeUndefined()
    expect(provenAfter(before, [streams], 2 * longMilliseconds + versionLagMilliseconds - 60_000 + 200)).toBe('v1')
  })
})
