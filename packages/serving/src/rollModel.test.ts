import { describe, expect, it } from 'vitest'
import { playRollModel } from './rollModel.js'
import type { RollModelOptions } from './rollModel.js'

/** A request counts as sent without knowing of the stop for this time after the signal. */
const unknowingMilliseconds = 3_000
const play = (options: Pick<RollModelOptions, 'vms' | 'atOnce' | 'policy'> & Partial<RollModelOptions>): ReturnType<typeof playRollModel> => playRollModel({ seed: 11, unknowingMilliseconds, ...options })

const fleets = [
  { vms: 3, atOnce: 1 }, { vms: 12, atOnce: 1 }, { vms: 12, atOnce: 2 }, { vms: 40, atOnce: 2 }, { vms: 40, atOnce: 8 }, { vms: 120, atOnce: 8 }, { vms: 370, atOnce: 8, batches: 10 }
] as const

// Guards against a roll that cuts streams which it could have refused, or refuses so much that callers end without an answer.
describe('a fleet whose VMs are replaced a few at a time', () => {
  it.each(fleets)('cuts no stream that came after the stop was known, and serves all that it refuses elsewhere: $vms VMs, $atOnce at once', (fleet) => {
    const old = play({ ...fleet, policy: 'serve-all' })
    const { lateCuts, earlyCuts, unserved, refusals, rollSeconds } = play({ ...fleet, policy: 'plan' })
    const { refusals: allRefusals } = play({ ...fleet, policy: 'refuse-all' })
    expect(old.lateCuts).toBeGreaterThan(0)
    expect([lateCuts, unserved]).toEqual([0, 0])
    expect(earlyCuts).toBeLessThan(old.earlyCuts * 1.2)
    expect(refusals).toBeLessThan(allRefusals)
    expect(rollSeconds).toBeLessThanOrEqual(old.rollSeconds)
  })

  it.each([0.1, 0.6, 1])('cuts none either where streams are predicted better or worse (spread %f), over ten rolls', (spread) => {
    const rolls = Array.from({ length: 10 }, (_, seed) => play({ vms: 40, atOnce: 2, policy: 'plan', spread, seed }))
    expect(rolls.reduce((sum, { lateCuts }) => sum + lateCuts, 0)).toBe(0)
  })

  it.each(fleets.filter(({ vms }) => vms > 3))('loads the remaining VMs with at most 1.5 times the calm load: $vms VMs, $atOnce at once', (fleet) => {
    expect(play({ ...fleet, policy: 'plan' }).peakLoad).toBeLessThanOrEqual(1.5)
  })

  // Two of three VMs have 1.5 times the load on average. Listed in KNOWN-RED.txt (41).
  it.fails('loads two of three VMs with at most 1.5 times the calm load', () => {
    expect(play({ vms: 3, atOnce: 1, policy: 'plan' }).peakLoad).toBeLessThanOrEqual(1.5)
  })
})
