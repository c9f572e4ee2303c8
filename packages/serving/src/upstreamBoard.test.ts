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
  it('uses upstreams of the service and region that neither leave nor are evacuated', () => {
    board.sync([
      announced('here'), announced('there', { failureDomain: southA }), announced('other', { service: desk }),
      announced('leaving', { isLeaving: true }), announced('emptied', { failureDomain: toFailureDomainId('north-b') })
    ], new Set([toFailureDomainId('north-b')]))
    expect(usable()).toEqual(['here'])
  })

  it('takes those known at the start for warm, and one that appears later for cold', () => {
    board.sync([announced('first')], none)
    board.sync([announced('first'), announced('late')], none)
    expect(board.find(toUpstreamId('first'))?.isCold).toBe(false)
    expect(board.find(toUpstreamId('late'))?.isCold).toBe(true)
    clock.advance(3_001)
    expect(board.find(toUpstreamId('late'))?.isCold).toBe(false)
  })

  it('does not use an upstream whose address another one has taken, until it starts anew', () => {
    board.sync([announced('a')], none)
    const belief = board.find(toUpstreamId('a'))
    if (belief !== undefined) belief.isReplaced = true
    board.sync([announced('a')], none)
    expect(usable()).toEqual([])
    board.sync([announced('a', { startedAt: 9 })], none)
    expect(usable()).toEqual(['a'])
  })

  it('forgets what it believed of an upstream that started anew under its old name', () => {
    board.sync([announced('a')], none)
    board.find(toUpstreamId('a'))?.readParts([part('p', 100).id])
    board.sync([announced('a', { startedAt: 2 })], none)
    const belief = board.find(toUpstreamId('a'))
    expect(belief?.isCold).toBe(true)
    expect(belief?.unreadTokens(100, [part('p', 100)])).toBe(100)
  })

  it('keeps its beliefs when an upstream only writes its entry again', () => {
    board.sync([announced('a')], none)
    const belief = board.find(toUpstreamId('a'))
    board.sync([announced('a', { isLeaving: true })], none)
    expect(board.find(toUpstreamId('a'))).toBe(belief)
    expect(usable()).toEqual([])
  })

  it('takes the upstreams of a domain that comes back from its evacuation for cold', () => {
    board.sync([announced('a')], new Set([northA]))
    board.sync([announced('a')], none)
    expect(board.find(toUpstreamId('a'))?.isCold).toBe(true)
  })

  it('believes an upstream that announces how long it stays cold', () => {
    board.sync([announced('a', { coldMilliseconds: 500 })], none)
    clock.advance(1_600)
    expect(board.find(toUpstreamId('a'))?.isCold).toBe(true)
    clock.advance(200)
    expect(board.find(toUpstreamId('a'))?.isCold).toBe(false)
  })
})
