import { describe, expect, it } from 'vitest'
import { toFailureDomainId, toRegionId, toVmId } from '@cuminvale/common'
import type { ListedVm } from '@cuminvale/common'
import { linksPerRegionPair, chosenRemoteLinksPerVm, regionPingTargetCount } from './constants.js'
import { RegionTopology } from './regionTopology.js'

const list = (regions: number, size: number): readonly ListedVm[] =>
  Array.from({ length: regions * size }, (_, index) => ({
    name: toVmId(`vm-${index}`),
    region: toRegionId(`region-${index % regions}`),
    failureDomain: toFailureDomainId(`domain-${index % (3 * regions)}`),
    host: '127.0.0.1',
    callerPort: 1,
    peerPort: 2,
    administrationPort: 3,
    state: 'live'
  }))

describe('RegionTopology', () => {
  it.each([[1, 1], [1, 8], [3, 1], [3, 3], [12, 4]])('plans each link at both ends, with %i regions of %i VMs', (regions, size) => {
    const vms = list(regions, size)
    const plans = new Map(vms.map((vm) => [vm.name, new RegionTopology(0).plan(vm, vms, () => true)]))
    for (const [name, plan] of plans) {
      for (const peer of plan.linkTargets) expect(plans.get(peer)?.linkTargets.has(name)).toBe(true)
      expect(plan.regionPingTargets.size).toBe(Math.min(regionPingTargetCount, size - 1))
    }
  })

  it('joins each pair of regions by a few links, and bounds the number of remote links', () => {
    const vms = list(12, 4)
    const plans = vms.map((vm) => new RegionTopology(0).plan(vm, vms, () => true))
    const remoteLinks = plans.reduce((sum, plan) => sum + [...plan.remotePingTargets.values()].flat().length, 0)
    const bound = 12 * 11 * linksPerRegionPair + vms.length * 2 * chosenRemoteLinksPerVm
    expect(remoteLinks).toBeLessThanOrEqual(bound)
    plans.forEach((plan) => expect(plan.watchersByRegion.size).toBe(11))
  })

  it('links a small fleet as a full mesh', () => {
    const vms = list(4, 4)
    expect(new RegionTopology().plan(vms[0] as ListedVm, vms, () => true).linkTargets.size).toBe(vms.length - 1)
  })

  it('replaces a watcher that has stopped', () => {
    const vms = list(2, 4)
    const self = vms[0] as ListedVm
    const before = new RegionTopology(0).plan(self, vms, () => true).watchersByRegion.get(toRegionId('region-1')) ?? []
    const stopped = before.find((name) => name !== self.name)
    const after = new RegionTopology(0).plan(self, vms, (name) => name !== stopped).watchersByRegion.get(toRegionId('region-1')) ?? []
    expect(before).toContain(stopped)
    expect(after).not.toContain(stopped)
  })
})
