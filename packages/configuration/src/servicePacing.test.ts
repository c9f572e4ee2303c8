import { describe, expect, it } from 'vitest'
import { SeededRandom } from '@cuminvale/common'
import { ServicePacing, firstRetryMilliseconds, longestReadDelayMilliseconds, longestRetryMilliseconds } from './servicePacing.js'

const serviceCallsPerSecond = 2_000
const vms = 370
const callsToReadAll = 6

describe('ServicePacing', () => {
  it('backs off up to the longest retry delay and restarts after a success', () => {
    const pacing = new ServicePacing({ next: () => 1 })
    const pauses = Array.from({ length: 7 }, () => pacing.failed())
    expect(pauses).toEqual([500, 1_000, 2_000, 4_000, 8_000, longestRetryMilliseconds, longestRetryMilliseconds])
    pacing.succeeded()
    expect(pacing.failed()).toBe(firstRetryMilliseconds)
    expect(pacing.readDelay()).toBe(longestReadDelayMilliseconds)
  })

  it('keeps the calls of 370 VMs below the rate of the service in every second after a long outage', () => {
    const random = new SeededRandom(7)
    const perSecond = new Map<number, number>()
    for (let vm = 0; vm < vms; vm += 1) {
      const pacing = new ServicePacing(random)
      let at = 0
      for (let failures = 0; failures < 8; failures += 1) at = pacing.failed()
      const second = Math.floor(at / 1_000)
      perSecond.set(second, (perSecond.get(second) ?? 0) + callsToReadAll)
    }
    expect(Math.max(...perSecond.values())).toBeLessThan(serviceCallsPerSecond)
  })
})
