import { ManualClock } from '@cuminvale/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { SendWindow } from './sendWindow.js'
import { StartSign, UpstreamStart } from './upstreamStart.js'

const coldMilliseconds = 3_000
const inTouch = { isOutOfTouch: false }

let clock: ManualClock
let start: UpstreamStart
beforeEach(() => {
  clock = new ManualClock()
  clock.advance(1_000)
  start = new UpstreamStart(clock)
})

describe('UpstreamStart', () => {
  it('is sure until a sign comes, and bounds the sends since that sign', () => {
    expect(start.boundedSince(inTouch)).toBeUndefined()
    const suspectedAt = clock.monotonic()
    start.suspect(StartSign.Lost)
    clock.advance(500)
    expect([start.isUnsure, start.boundedSince(inTouch)]).toEqual([true, suspectedAt])
  })

  it('is sure again after an answer on an older connection, but not by one that may have come before the sign', () => {
    start.suspect(StartSign.Lost)
    clock.advance(50)
    start.recordAnswer(500, coldMilliseconds)
    expect(start.isUnsure).toBe(true)
    clock.advance(60)
    start.recordAnswer(500, coldMilliseconds)
    expect(start.isUnsure).toBe(false)
  })

  it('is unsure for no longer after its first answer than a start is cold', () => {
    start.suspect(StartSign.Lost)
    clock.advance(60_000)
    expect(start.isUnsure).toBe(true)
    start.recordAnswer(clock.monotonic(), coldMilliseconds)
    clock.advance(coldMilliseconds - 1)
    start.recordAnswer(clock.monotonic(), coldMilliseconds)
    expect(start.isUnsure).toBe(true)
    clock.advance(1)
    expect(start.isUnsure).toBe(false)
  })

  it('takes no inspection that was asked for before the last sign', () => {
    start.suspect(StartSign.Lost)
    const askedAt = clock.monotonic()
    clock.advance(5)
    start.suspect(StartSign.Lost)
    start.recordInspection({ askedAt, coldMilliseconds: 0 })
    expect(start.isUnsure).toBe(true)
    start.recordInspection({ askedAt: clock.monotonic(), coldMilliseconds: 0 })
    expect(start.isUnsure).toBe(false)
  })

  it('is cold for as long as an inspection says, and no odd time makes it so', () => {
    expect([start.recordInspection({ askedAt: 1_000, coldMilliseconds: 800 }), start.isCold, start.sign]).toEqual([true, true, StartSign.Inspected])
    clock.advance(1_001)
    expect(start.isCold).toBe(false)
    expect([NaN, -5, 0].map((milliseconds) => start.markCold(milliseconds, StartSign.Told))).toEqual([false, false, false])
  })

  it('is bounded by inspections only while this VM is out of touch', () => {
    expect(start.boundedSince({ isOutOfTouch: true })).toBe(-Infinity)
    start.recordInspection({ askedAt: 1_000, coldMilliseconds: 0 })
    expect(start.boundedSince({ isOutOfTouch: true })).toBe(1_000)
  })
})

describe('SendWindow', () => {
  // Guards against requests that wait for a connection, and arrive together with those of the next second.
  it('counts a send from the time at which it is written, and one that never is not at all', () => {
    const window = new SendWindow(clock)
    const [waiting, dropped] = [window.reserve(), window.reserve()]
    clock.advance(2_000)
    expect(window.allows(2)).toBe(false)
    dropped.at = -Infinity
    waiting.at = clock.monotonic()
    clock.advance(1_149)
    expect([window.allows(2), window.allows(1)]).toEqual([true, false])
    clock.advance(1)
    expect(window.allows(1)).toBe(true)
  })
})
