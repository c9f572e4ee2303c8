import { runtimeClock } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { CallerMemory } from './callerMemory.js'
import type { MemoryHolder } from './callerMemory.js'

const maximumBytes = 1_000_000
let now = 0
const clock = { ...runtimeClock, monotonic: () => now }

interface Fixture {
  readonly memory: CallerMemory
  readonly gone: string[]
  hold (name: string, bytes: number, canGiveWay?: boolean): MemoryHolder
}

const create = (): Fixture => {
  now = 0
  const memory = new CallerMemory({ clock, maximumBytes })
  const gone: string[] = []
  return {
    memory,
    gone,
    hold: (name, bytes, canGiveWay = true) => {
      const holder = memory.hold({ canGiveWay: () => canGiveWay, giveWay: () => { gone.push(name) } })
      holder.grow(bytes)
      return holder
    }
  }
}

describe('CallerMemory', () => {
  it('lets nobody give way while there is room', () => {
    const { gone, hold } = create()
    hold('long', 700_000)
    now = 3_600_000
    expect(hold('ordinary', 10_000).grow(10_000)).toBe(true)
    expect(gone).toEqual([])
  })

  // Guards against an ordinary caller that is refused since others hold everything without moving.
  it('takes it from those that hold most and are furthest behind', () => {
    const { memory, gone, hold } = create()
    hold('stalled', 300_000)
    hold('short', 20_000)
    const moving = hold('moving', 300_000)
    now = 10_000
    moving.recordProgress(700_000)
    expect(hold('new', 200_000).bytes).toBe(200_000)
    expect(gone).toEqual(['stalled'])
    expect(memory.total).toBe(520_000)
  })

  it('takes it from the one that has grown if that is the worst', () => {
    const { gone, hold } = create()
    hold('ordinary', 20_000)
    const growing = hold('growing', 400_000)
    now = 1_000
    hold('other', 200_000)
    expect(growing.grow(300_000)).toBe(false)
    expect(gone).toEqual(['growing'])
  })

  it('is not deceived by a byte now and then', () => {
    const { gone, hold } = create()
    const dripping = hold('dripping', 400_000)
    const fast = hold('fast', 300_000)
    for (now = 100; now <= 10_000; now += 100) {
      dripping.recordProgress(1)
      fast.recordProgress(20_000)
    }
    hold('new', 200_000)
    expect(gone).toEqual(['dripping'])
  })

  // Guards against a whole request that is dropped though it may have run.
  it('refuses a new holder if all others must stay, and keeps a part for ordinary ones', () => {
    const { gone, hold } = create()
    hold('running', 740_000, false)
    const long = hold('long', 0)
    expect(long.grow(100_000)).toBe(false)
    const ordinary = hold('ordinary', 0)
    expect(ordinary.grow(60_000)).toBe(true)
    expect(gone).toEqual(['long'])
  })

  // Guards against bodies that come faster than those before them are collected, which no sum of what is held shows.
  it('knows of whole bodies that were dropped a moment ago', () => {
    const { memory, hold } = create()
    for (const name of ['first', 'second']) {
      const body = hold(name, 0)
      body.holdWhole(600_000)
      body.release()
    }
    expect([memory.total, memory.awaitsCollection]).toEqual([0, true])
    now = 1_000
    expect(memory.awaitsCollection).toBe(false)
  })

  it('counts what is released no more', () => {
    const { memory, hold } = create()
    const holder = hold('one', 500)
    holder.release()
    holder.release()
    expect([memory.total, holder.grow(1), memory.total]).toEqual([0, false, 0])
  })
})
