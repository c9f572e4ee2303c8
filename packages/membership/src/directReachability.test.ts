import { toVmId } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { stopDetectionBoundMilliseconds, membershipTickMilliseconds, pingTimeoutMilliseconds, refutationTimeoutMilliseconds } from './constants.js'
import { DirectReachability } from './directReachability.js'

const vm = toVmId('vm-2')

describe('DirectReachability', () => {
  it('suspects a VM again within the detection bound when it stops just after refuting a suspicion over another path', () => {
    const clock = { now: 0, monotonic: () => clock.now, wall: () => clock.now }
    const contacts = new DirectReachability(clock)
    contacts.setTargets(new Set([vm]), new Set([vm]))
    clock.now = pingTimeoutMilliseconds + 1
    expect(contacts.takeDueSuspicion(vm)).toBe(true)
    // The suspicion is refuted at once and the VM then stops, so no further ping is acknowledged.
    const stoppedAt = clock.now
    while (!contacts.takeDueSuspicion(vm)) clock.now += membershipTickMilliseconds
    expect(clock.now + refutationTimeoutMilliseconds - stoppedAt).toBeLessThanOrEqual(stopDetectionBoundMilliseconds - pingTimeoutMilliseconds)
  })

  it('waits longer before each further suspicion of a VM that only it cannot reach', () => {
    const clock = { now: 0, monotonic: () => clock.now, wall: () => clock.now }
    const contacts = new DirectReachability(clock)
    contacts.setTargets(new Set([vm]), new Set([vm]))
    const raisedAt: number[] = []
    for (; clock.now < 60_000; clock.now += membershipTickMilliseconds) {
      if (contacts.takeDueSuspicion(vm)) raisedAt.push(clock.now)
    }
    expect(raisedAt.length).toBeLessThanOrEqual(6)
    const gaps = raisedAt.slice(1).map((at, index) => at - (raisedAt[index] ?? 0))
    expect(gaps.every((gap, index) => index === 0 || gap > (gaps[index - 1] ?? 0))).toBe(true)
  })
})
