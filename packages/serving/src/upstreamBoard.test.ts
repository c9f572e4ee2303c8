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

const noEvacuations = new Set<typeof northA>()
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
    board.sync([announced('first')], noEvacuations)
    board.sync([announced('first'), announced('late')], noEvacuations)
    expect(board.find(toUpstreamId('first'))?.isCold).toBe(false)
    expect(board.find(toUpstreamId('late'))?.isCold).toBe(true)
    clock.advance(3_001)
    expect(board.find(toUpstreamId('late'))?.isCold).toBe(false)
  })

  it('does not use an upstream whose address another one has taken until it restarts', () => {
    board.sync([announced('a')], noEvacuations)
    const state = board.find(toUpstreamId('a'))
    if (state !== undefined) state.isReplaced = true
    board.sync([announced('a')], noEvacuations)
    expect(usable()).toEqual([])
    board.sync([announced('a', { startedAt: 9 })], noEvacuations)
    expect(usable()).toEqual(['a'])
  })

  it('discards the state of an upstream that restarted under the same id', () => {
    board.sync([announced('a')], noEvacuations)
    board.find(toUpstreamId('a'))?.readParts([part('p', 100).id])
    board.sync([announced('a', { startedAt: 2 })], noEvacuations)
    const state = board.find(toUpstreamId('a'))
    expect(state?.isCold).toBe(true)
    expect(state?.unreadTokens(100, [part('p', 100)])).toBe(100)
  })

  it('keeps the state of an upstream that only updates its announcement', () => {
    board.sync([announced('a')], noEvacuations)
    const state = board.find(toUpstreamId('a'))
    board.sync([announced('a', { isLeaving: true })], noEvacuations)
    expect(board.find(toUpstreamId('a'))).toBe(state)
    expect(usable()).toEqual([])
  })

  it('treats the upstreams of a failure domain that returns from an evacuation as cold', () => {
    board.sync([announced('a')], new Set([northA]))
    board.sync([announced('a')], noEvacuations)
    expect(board.find(toUpstreamId('a'))?.isCold).toBe(true)
  })

  it('treats an upstream as cold for its announced cold time and a margin', () => {
    board.sync([announced('a', { coldMilliseconds: 500 })], noEvacuations)
    clock.advance(1_600)
    expect(board.find(toUpstreamId('a'))?.isCold).toBe(true)
    clock.advance(200)
    expect(board.find(toUpstreamId('a'))?.isCold).toBe(false)
  })
})
