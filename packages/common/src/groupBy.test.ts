import { describe, expect, it } from 'vitest'
import { groupBy } from './groupBy.js'

describe('groupBy', () => {
  it('keeps the order of groups and of the items in them', () => {
    expect([...groupBy([3, 1, 4, 1, 5, 6], (item) => item % 2 === 0)]).toEqual([[false, [3, 1, 1, 5]], [true, [4, 6]]])
  })

  it('makes no group of nothing', () => {
    expect([...groupBy([], (item) => item)]).toEqual([])
  })
})
