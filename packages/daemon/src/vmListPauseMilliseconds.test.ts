import { describe, expect, it } from 'vitest'
import { vmListPauseMilliseconds } from './vmListPauseMilliseconds.js'

const randomWithoutJitter = { next: () => 0.5 }

describe('vmListPauseMilliseconds', () => {
  it.each([[0, 0], [8, 0], [370, 18_500]])('reads a list of %i VMs every %i ms', (vms, pause) => {
    expect(vmListPauseMilliseconds(vms, randomWithoutJitter)).toBe(pause)
  })
})
