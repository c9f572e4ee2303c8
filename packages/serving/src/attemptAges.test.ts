import { toRouteName } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { AttemptAges } from './attemptAges.js'

const route = toRouteName('r')

describe('AttemptAges', () => {
  it('subtracts the stated deadline from the longest deadline seen on the route', () => {
    const ages = new AttemptAges()
    expect(ages.waitedMilliseconds(route, 4_000)).toBe(0)
    expect(ages.waitedMilliseconds(route, 3_200)).toBe(800)
    expect(ages.waitedMilliseconds(toRouteName('other'), 3_200)).toBe(0)
  })

  it('treats a request without a deadline as a first attempt', () => {
    expect(new AttemptAges().waitedMilliseconds(route, undefined)).toBe(0)
  })
})
