import { describe, expect, it } from 'vitest'
import { DecayingSum } from './decayingSum.js'
import { ManualClock } from './testSupport.js'

describe('FadingSum', () => {
  it('decays to about a third in one time constant and to almost zero in five', () => {
    const clock = new ManualClock()
    const sum = new DecayingSum(clock)
    sum.add(100, 200)
    expect(sum.value(200)).toBe(100)
    clock.advance(200)
    expect(sum.value(200)).toBeCloseTo(36.8, 1)
    sum.add(10, 200)
    expect(sum.value(200)).toBeCloseTo(46.8, 1)
    clock.advance(1_000)
    expect(sum.value(200)).toBeLessThan(0.5)
  })
})
