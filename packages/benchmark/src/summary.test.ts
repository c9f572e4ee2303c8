import { describe, expect, it } from 'vitest'
import { completedPerSecond, median, percentile } from './summary.js'

const samples = Array.from({ length: 100 }, (_, index) => 100 - index)

describe('summary', () => {
  it.each([[0.5, 50], [0.99, 99], [1, 100], [0, 1]])('takes percentile %d by nearest rank', (rank, expected) => {
    expect(percentile(samples, rank)).toBe(expected)
  })

  it('has no percentile of nothing', () => {
    expect(median([])).toBeNaN()
  })

  it('adds the rates of load processes, each over its own time', () => {
    const result = { failed: 0, firstByteMilliseconds: [] }
    expect(completedPerSecond([
      { ...result, completed: 100, elapsedMilliseconds: 1_000 },
      { ...result, completed: 100, elapsedMilliseconds: 2_000 }
    ])).toBe(150)
  })
})
