import { toVmId } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { deadDroppedWithinMilliseconds, membershipTickMilliseconds, silenceMilliseconds, suspicionMilliseconds } from './constants.js'
import { DirectContacts } from './directContacts.js'

const vm = toVmId('vm-2')

describe('DirectContacts', () => {
  it('suspects a VM that stops just after it refuted a suspicion by another path, in time to drop it', () => {
    const clock = { now: 0, monotonic: () => clock.now, wall: () => clock.now }
    const contacts = new DirectContacts(clock)
    contacts.adopt(new Set([vm]), new Set([vm]))
    clock.now = silenceMilliseconds + 1
    expect(contacts.takeSuspicion(vm)).toBe(true)
    // Refuted at once, then stopped: no ping is acknowledged any more.
    const stoppedAt = clock.now
    while (!contacts.takeSuspicion(vm)) clock.now += membershipTickMilliseconds
    expect(clock.now + suspicionMilliseconds - stoppedAt).toBeLessThanOrEqual(deadDroppedWithinMilliseconds - silenceMilliseconds)
  })

  it('waits longer before each further suspicion of a VM that it alone can not reach', () => {
    const clock = { now: 0, monotonic: () => clock.now, wall: () => clock.now }
    const contacts = new DirectContacts(clock)
    contacts.adopt(new Set([vm]), new Set([vm]))
    const raisedAt: number[] = []
    for (; clock.now < 60_000; clock.now += membershipTickMilliseconds) {
      if (contacts.takeSuspicion(vm)) raisedAt.push(clock.now)
    }
    expect(raisedAt.length).toBeLessThanOrEqual(6)
    const gaps = raisedAt.slice(1).map((at, index) => at - (raisedAt[index] ?? 0))
    expect(gaps.every((gap, index) => index === 0 || gap > (gaps[index - 1] ?? 0))).toBe(true)
  })
})
