import { describe, expect, it } from 'vitest'
import { SeededRandom, VmState, toFailureDomainId, toRegionId, toTeamId, toVmId } from '@cuminvale/common'
import { SteeredEntryChooser } from './steeredEntryChooser.js'
import type { EntryCandidate, EntryRequest } from './types.js'

const veneto = toRegionId('veneto')
const emilia = toRegionId('emilia')

const candidate = (name: string, region = veneto, overrides: Partial<EntryCandidate> = {}): EntryCandidate => ({
  vm: {
    name: toVmId(name),
    region,
    failureDomain: toFailureDomainId('a'),
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

const vms = Array.from({ length: 8 }, (_, index) => candidate(`vm-${index}`))

const request = (overrides: Partial<EntryRequest> = {}): EntryRequest => ({
  team: toTeamId('binders'), callerRegion: veneto, allowedRegions: [veneto, emilia], count: 8, rateTokensPerSecond: 1_000, ...overrides
})

const chooser = (weights: { tailLatencyWeight?: number, wrongfulRefusalsWeight?: number } = {}) => new SteeredEntryChooser({
  random: new SeededRandom(1), tailLatencyWeight: 1, wrongfulRefusalsWeight: 1, tokensPerVm: 10_000, ...weights
})

/** The VMs that come first in any of 200 answers. */
const firstVms = (candidates: readonly EntryCandidate[], asked = request(), weights = {}): ReadonlySet<string> => {
  const choose = chooser(weights)
  return new Set(Array.from({ length: 200 }, () => choose.choose(asked, candidates).vms[0] ?? ''))
}

describe('SteeredEntryChooser', () => {
  it('steers a small team to two VMs, and a large one to more', () => {
    expect(firstVms(vms).size).toBe(2)
    expect(firstVms(vms, request({ rateTokensPerSecond: 40_000 })).size).toBe(4)
  })

  it('steers to fewer VMs if wrongful refusals weigh more than waits', () => {
    const large = request({ rateTokensPerSecond: 40_000 })
    expect(firstVms(vms, large, { wrongfulRefusalsWeight: 2 }).size).toBe(2)
    expect(firstVms(vms, large, { tailLatencyWeight: 2 }).size).toBe(8)
  })

  it('keeps the other VM of a team when one is lost', () => {
    const [lost, kept] = [...firstVms(vms)]
    const remaining = vms.filter(({ vm }) => vm.name !== lost)
    expect(firstVms(remaining).has(kept ?? '')).toBe(true)
    expect(firstVms(remaining).size).toBe(2)
  })

  it('prefers other VMs of the region over a team\'s overloaded VMs, and those over other regions', () => {
    const steered = firstVms(vms)
    const loaded = [...vms, candidate('far', emilia)].map((entry) => steered.has(entry.vm.name) ? { ...entry, load: 1 } : entry)
    const preferred = firstVms(loaded)
    expect([...preferred].some((name) => steered.has(name))).toBe(false)
    expect(preferred.has('far')).toBe(false)
  })

  it.each([
    ['leaving', { vm: { ...candidate('x').vm, state: VmState.Leaving } }],
    ['unreachable', { reachable: false }],
    ['outside the plan\'s regions', { vm: { ...candidate('x').vm, region: toRegionId('lombardia') } }]
  ])('leaves out a VM that is %s', (_, change) => {
    expect(chooser().choose(request(), [candidate('x', veneto, change), candidate('y')]).vms).toEqual(['y'])
  })

  it('gives answers that hold for less time while the best VM is loaded', () => {
    const idle = chooser().choose(request(), vms).holdMilliseconds
    const busy = chooser().choose(request(), vms.map((entry) => ({ ...entry, load: 0.9 }))).holdMilliseconds
    expect(busy).toBeLessThan(idle)
  })
})
