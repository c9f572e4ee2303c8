import { describe, expect, it } from 'vitest'
import { toTeamId } from '@cuminvale/common'
import { SlotReserve } from './slotReserve.js'

const team = toTeamId('large')

const fixture = () => {
  const clock = { now: 0, monotonic: () => clock.now, wall: () => clock.now }
  const reserve = new SlotReserve({ clock, reservedSlotShare: 0.25, weightShare: () => 0.5, vmCount: () => 1 })
  return { clock, reserve }
}

describe('SlotReserve', () => {
  it.each([
    ['a free slot above the reserve', { held: 50, free: 26, waitingFor: 60_000 }, true],
    ['a short backlog', { held: 50, free: 10, waitingFor: 1_000 }, true],
    ['a lasting backlog and less than its share', { held: 30, free: 10, waitingFor: 60_000 }, true],
    ['a lasting backlog and its share', { held: 50, free: 10, waitingFor: 60_000 }, false]
  ])('decides for a team with %s', (_, { held, free, waitingFor }, expected) => {
    const { clock, reserve } = fixture()
    for (let index = 0; index < held; index += 1) reserve.begin('pool', team)
    clock.now = 100_000
    expect(reserve.mayTakeSlot('pool', team, { free, total: 100, waitingSince: clock.now - waitingFor })).toBe(expected)
  })

  it('admits the team to the reserve again after its requests have ended', () => {
    const { clock, reserve } = fixture()
    for (let index = 0; index < 50; index += 1) reserve.begin('pool', team)
    clock.now = 100_000
    for (let index = 0; index < 50; index += 1) reserve.end('pool', team)
    clock.now = 110_000
    expect(reserve.mayTakeSlot('pool', team, { free: 1, total: 100, waitingSince: 0 })).toBe(true)
  })
})
