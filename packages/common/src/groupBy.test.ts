import { describe, expect, it } from 'vitest'
import { groupBy } from './groupBy.js'

describe('groupBy', () => {
  it('orders groups by their first item and keeps the order of items', () => {
    expect([...groupBy([3, 1, 4, 1, 5, 6], (item) => item % 2 === 0)]).toEqual([[false, [3, 1, 1, 5]], [true, [4, 6]]])
  })

  it('returns no groups for an empty list', () => {
    expect([...groupBy([], (item) => item)]).toEqual([])
  })
})
