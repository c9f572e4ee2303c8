import { describe, expect, it } from 'vitest'
import { completedPerSecond, median, percentile } from './summary.js'

const samples = Array.from({ length: 100 }, (_, index) => 100 - index)

describe('summary', () => {
  it.each([[0.5, 50], [0.99, 99], [1, 100], [0, 1]])('takes percentile %d by nearest rank', (rank, expected) => {
    expect(percentile(samples, rank)).toBe(expected)
  })

  it('returns NaN for no samples', () => {
    expect(median([])).toBeNaN()
  })

  it('sums the rates of load processes, each over its own elapsed time', () => {
    const result = { failed: 0, firstByteMilliseconds: [] }
    expect(completedPerSecond([
      { ...result, completed: 100, elapsedMilliseconds: 1_000 },
      { ...result, completed: 100, elapsedMilliseconds: 2_000 }
    ])).toBe(150)
  })
})
