import { toRouteName } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { AttemptAges } from './attemptAges.js'

const route = toRouteName('r')

describe('AttemptAges', () => {
  it('subtracts the stated deadline from the longest deadline seen on the route', () => {
    const ages = new AttemptAges()
    expect(ages.waited(route, 4_000)).toBe(0)
    expect(ages.waited(route, 3_200)).toBe(800)
    expect(ages.waited(toRouteName('other'), 3_200)).toBe(0)
  })

  it('treats a request without a deadline as a first attempt', () => {
    expect(new AttemptAges().waited(route, undefined)).toBe(0)
  })
})
