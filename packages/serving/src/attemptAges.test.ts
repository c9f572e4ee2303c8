import { toRouteName } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { AttemptAges } from './attemptAges.js'

const route = toRouteName('r')

describe('AttemptAges', () => {
  it('takes what is missing of the longest wait seen on the route for the time that has passed', () => {
    const ages = new AttemptAges()
    expect(ages.waited(route, 4_000)).toBe(0)
    expect(ages.waited(route, 3_200)).toBe(800)
    expect(ages.waited(toRouteName('other'), 3_200)).toBe(0)
  })

  it('takes a caller that says nothing for a first attempt', () => {
    expect(new AttemptAges().waited(route, undefined)).toBe(0)
  })
})
