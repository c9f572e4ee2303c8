import { describe, expect, it } from 'vitest'
import { SoakTally } from './soakSuite.js'
import { soakSuites } from './soakSuites.js'

const fixedSeeds = [1, 2]

describe('soak suites under fixed seeds', () => {
  it.each(soakSuites.flatMap((suite) => fixedSeeds.map((seed) => ({ suite, seed, name: suite.name }))))('$name, seed $seed', async ({ suite, seed }) => {
    const tally = new SoakTally()
    expect(await suite.run(seed, tally)).toBeUndefined()
    expect(tally.operations).toBeGreaterThan(0)
  }, 60_000)
})
