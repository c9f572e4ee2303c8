import { toFailureDomainId, toUpstreamId } from '@cuminvale/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { UpstreamBoard } from './upstreamBoard.js'
import { ManualClock, announced, desk, engine, north, northA, part, regionOf, shapeOf, southA } from './testSupport.js'

let clock: ManualClock
let board: UpstreamBoard
beforeEach(() => {
  clock = new ManualClock()
  board = new UpstreamBoard({ clock, regionOf, shapeOf })
})

const none = new Set<typeof northA>()
const usable = (): readonly string[] => board.usable(engine, north).map(({ announced: { id } }) => id)

describe('UpstreamBoard', () => {
  it('uses upstreams of the service and region that are neither leaving nor evacuated', () => {
    board.sync([
      announced('here'), announced('there', { failureDomain: southA }), announced('other', { service: desk }),
      announced('leaving', { isLeaving: true }), announced('emptied', { failureDomain: toFailureDomainId('north-b') })
    ], new Set([toFailureDomainId('north-b')]))
    expect(usable()).toEqual(['here'])
  })

  it('treats upstreams known at startup as warm, and one that appears later as cold', () => {
    board.sync([announced('first')], none)
    board.sync([announced('first'), announced('late')], none)
    expect(board.find(toUpstreamId('first'))?.isCold).toBe(false)
    expect(board.find(toUpstreamId('late'))?.isCold).toBe(true)
    clock.advance(3_001)
    expect(board.find(toUpstreamId('late'))?.isCold).toBe(false)
  })

  it('does not use an upstream whose address another one has taken until it restarts', () => {
    board.sync([announced('a')], none)
    const belief = board.find(toUpstreamId('a'))
    if (belief !== undefined) belief.isReplaced = true
    board.sync([announced('a')], none)
    expect(usable()).toEqual([])
    board.sync([announced('a', { startedAt: 9 })], none)
    expect(usable()).toEqual(['a'])
  })

  it('discards the state of an upstream that restarted under the same id', () => {
    board.sync([announced('a')], none)
    board.find(toUpstreamId('a'))?.readParts([part('p', 100).id])
    board.sync([announced('a', { startedAt: 2 })], none)
    const belief = board.find(toUpstreamId('a'))
    expect(belief?.isCold).toBe(true)
    expect(belief?.unreadTokens(100, [part('p', 100)])).toBe(100)
  })

  it('keeps the state of an upstream that only updates its announcement', () => {
    board.sync([announced('a')], none)
    const belief = board.find(toUpstreamId('a'))
    board.sync([announced('a', { isLeaving: true })], none)
    expect(board.find(toUpstreamId('a'))).toBe(belief)
    expect(usable()).toEqual([])
  })

  it('treats the upstreams of a failure domain that returns from an evacuation as cold', () => {
    board.sync([announced('a')], new Set([northA]))
    board.sync([announced('a')], none)
    expect(board.find(toUpstreamId('a'))?.isCold).toBe(true)
  })

  it('treats an upstream as cold for its announced cold time and a margin', () => {
    board.sync([announced('a', { coldMilliseconds: 500 })], none)
    clock.advance(1_600)
    expect(board.find(toUpstreamId('a'))?.isCold).toBe(true)
    clock.advance(200)
    expect(board.find(toUpstreamId('a'))?.isCold).toBe(false)
  })
})
