import { describe, expect, it } from 'vitest'
import { SeededRandom, VmState, toFailureDomainId, toRegionId, toTeamId, toVmId } from '@cuminvale/common'
import { UniformEntryChooser } from './uniformEntryChooser.js'
import type { EntryCandidate } from './types.js'

const candidate = (name: string, region: string, overrides: Partial<EntryCandidate> = {}): EntryCandidate => ({
  vm: {
    name: toVmId(name),
    region: toRegionId(region),
    failureDomain: toFailureDomainId(`${region}-a`),
    host: '127.0.0.1',
    callerPort: 1,
    peerPort: 2,
    administrationPort: 3,
    state: VmState.Live
  },
  reachable: true,
  load: 0,
  ...overrides
})

describe('UniformEntryChooser', () => {
  it('puts the caller\'s region first and leaves out VMs that are unreachable or leaving', () => {
    const leaving = candidate('vm-4', 'veneto')
    const answer = new UniformEntryChooser(new SeededRandom(1)).choose(
      { team: toTeamId('binders'), callerRegion: toRegionId('veneto'), allowedRegions: [], count: 3, rateTokensPerSecond: 1 },
      [
        candidate('vm-1', 'lombardia'),
        candidate('vm-2', 'veneto'),
        candidate('vm-3', 'veneto', { reachable: false }),
        { ...leaving, vm: { ...leaving.vm, state: VmState.Leaving } }
      ]
    )
    expect(answer.vms).toEqual(['vm-2', 'vm-1'])
  })
})
