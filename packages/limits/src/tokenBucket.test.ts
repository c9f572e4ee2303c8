import * as fastCheck from 'fast-check'
import { describe, expect, it } from 'vitest'
import { TokenBucket } from './tokenBucket.js'

describe('TokenBucket', () => {
  it('starts empty and fills up to its capacity', () => {
    const bucket = new TokenBucket({ ratePerSecond: 10, capacity: 20 }, 0)
    expect(bucket.take(1, 0)).toBe(false)
    expect(bucket.available(1_000)).toBe(10)
    expect(bucket.available(60_000)).toBe(20)
  })

  it('returns the time until tokens are available, infinite if they never are', () => {
    const bucket = new TokenBucket({ ratePerSecond: 10, capacity: 20 }, 0)
    expect(bucket.millisecondsUntil(5, 0)).toBe(500)
    expect(bucket.millisecondsUntil(21, 0)).toBe(Infinity)
  })

  it('never grants more than the capacity plus the rate times the window in any window', () => {
    const steps = fastCheck.array(fastCheck.tuple(fastCheck.integer({ min: 0, max: 900 }), fastCheck.integer({ min: 1, max: 30 })))
    fastCheck.assert(fastCheck.property(steps, (takes) => {
      const bucket = new TokenBucket({ ratePerSecond: 10, capacity: 20 }, 0)
      const taken: Array<{ at: number, tokens: number }> = []
      let now = 0
      for (const [wait, tokens] of takes) {
        now += wait
        if (bucket.take(tokens, now)) taken.push({ at: now, tokens })
      }
      for (const [index, first] of taken.entries()) {
        let sum = 0
        for (const last of taken.slice(index)) {
          sum += last.tokens
          expect(sum).toBeLessThanOrEqual(20 + (last.at - first.at) / 100 + 1e-6)
        }
      }
    }), { seed: 1 })
  })
})
