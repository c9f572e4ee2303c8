import { describe, expect, it } from 'vitest'
import { toRouteName, toTeamId, toUpstreamId } from '@cuminvale/common'
import { CrashSuspects, SuspicionKind } from './crashSuspects.js'
import { digestRequest } from './requestDigest.js'

const team = toTeamId('binders')
const digestOf = (body: string, owner = team) =>
  digestRequest({ team: owner, route: toRouteName('drafting'), body: Buffer.from(body) })
const first = toUpstreamId('drafting-1')
const second = toUpstreamId('drafting-2')
const third = toUpstreamId('drafting-3')

const setup = (capacity = 100) => {
  const time = { now: 0 }
  const clock = { monotonic: () => time.now, wall: () => time.now }
  return { time, suspects: new CrashSuspects({ clock, capacity }) }
}

describe('CrashSuspects', () => {
  it('convicts a request after two deaths until the suspicion expires', () => {
    const { time, suspects } = setup()
    const digest = digestOf('bad')
    suspects.upstreamDied(digest, team, first)
    expect(suspects.suspicionOf(digest)).toEqual({ kind: SuspicionKind.Suspected, diedOn: [first] })
    time.now = 5_000
    suspects.upstreamDied(digest, team, second)
    expect(suspects.suspicionOf(digest).kind).toBe(SuspicionKind.Convicted)
    time.now = 700_000
    expect(suspects.suspicionOf(digest).kind).toBe(SuspicionKind.Clear)
  })

  it('counts a death once if several VMs report it', () => {
    const { time, suspects } = setup()
    const digest = digestOf('bad')
    suspects.upstreamDied(digest, team, first)
    time.now = 1_000
    suspects.reportedByPeer(digest, team, [{ upstream: first, at: 300 }])
    expect(suspects.suspicionOf(digest).kind).toBe(SuspicionKind.Suspected)
  })

  it('clears requests that only ran beside the convicted request', () => {
    const { time, suspects } = setup()
    const [crashing, harmless, other] = [digestOf('bad'), digestOf('good'), digestOf('fine')]
    for (const digest of [crashing, harmless]) suspects.upstreamDied(digest, team, first)
    time.now = 10_000
    suspects.upstreamDied(crashing, team, second)
    suspects.upstreamDied(other, team, second)
    expect(suspects.suspicionOf(harmless).kind).toBe(SuspicionKind.Clear)
    expect(suspects.suspicionOf(other).kind).toBe(SuspicionKind.Clear)
    expect(suspects.suspicionOf(crashing).kind).toBe(SuspicionKind.Convicted)
  })

  it('needs a third death to convict if two requests share the first two', () => {
    const { time, suspects } = setup()
    const [crashing, harmless] = [digestOf('bad'), digestOf('good')]
    for (const upstream of [first, second]) {
      suspects.upstreamDied(harmless, team, upstream)
      suspects.upstreamDied(crashing, team, upstream)
    }
    expect(suspects.suspicionOf(harmless).kind).toBe(SuspicionKind.Suspected)
    expect(suspects.suspicionOf(crashing).kind).toBe(SuspicionKind.Suspected)
    time.now = 4_000
    suspects.reportedByPeer(crashing, team, [{ upstream: third, at: 0 }])
    expect(suspects.suspicionOf(harmless).kind).toBe(SuspicionKind.Clear)
    expect(suspects.suspicionOf(crashing).kind).toBe(SuspicionKind.Convicted)
  })

  it('convicts a request once the request that shared its deaths completes', () => {
    const { suspects } = setup()
    const [crashing, harmless] = [digestOf('bad'), digestOf('good')]
    for (const upstream of [first, second]) {
      suspects.upstreamDied(harmless, team, upstream)
      suspects.upstreamDied(crashing, team, upstream)
    }
    suspects.completed(harmless)
    expect(suspects.suspicionOf(crashing).kind).toBe(SuspicionKind.Convicted)
  })

  it('clears a suspect that completes, but not a convicted request', () => {
    const { time, suspects } = setup()
    const [suspect, crashing] = [digestOf('good'), digestOf('bad')]
    suspects.upstreamDied(suspect, team, first)
    suspects.completed(suspect)
    expect(suspects.suspicionOf(suspect).kind).toBe(SuspicionKind.Clear)
    suspects.upstreamDied(crashing, team, second)
    time.now = 9_000
    suspects.upstreamDied(crashing, team, third)
    suspects.completed(crashing)
    expect(suspects.suspicionOf(crashing).kind).toBe(SuspicionKind.Convicted)
  })

  it('does not suspect the same body sent by another team', () => {
    const { time, suspects } = setup()
    suspects.upstreamDied(digestOf('bad'), team, first)
    time.now = 9_000
    suspects.upstreamDied(digestOf('bad'), team, second)
    expect(suspects.suspicionOf(digestOf('bad', toTeamId('mowers'))).kind).toBe(SuspicionKind.Clear)
  })

  it('lists upstreams that run suspects, and bounds the number of suspects', () => {
    const { suspects } = setup(1)
    const digest = digestOf('bad')
    suspects.upstreamDied(digest, team, first)
    suspects.started(digest, second)
    expect([...suspects.upstreamsWithSuspects()]).toEqual([second])
    expect(suspects.isRunning(digest)).toBe(true)
    expect(suspects.upstreamDied(digestOf('another'), team, first)).toEqual([])
  })
})
