/**
 * Baseline topology: a full mesh in which every VM links to and pings every other.
 */

import type { ListedVm, RegionId, VmId } from '@cuminvale/common'
import type { TopologyPlan, Topology } from './types.js'

export class FullMeshTopology implements Topology {
  plan (self: ListedVm, vms: readonly ListedVm[]): TopologyPlan {
    const others = vms.filter(({ name }) => name !== self.name)
    const local = others.filter((vm) => vm.region === self.region).map(({ name }) => name)
    const remoteTargets = new Map<RegionId, VmId[]>()
    for (const vm of others.filter((other) => other.region !== self.region)) {
      remoteTargets.set(vm.region, [...remoteTargets.get(vm.region) ?? [], vm.name])
    }
    return {
      linkTargets: new Set(others.map(({ name }) => name)),
      regionPingTargets: new Set(local),
      remotePingTargets: remoteTargets,
      watchersByRegion: new Map([...remoteTargets.keys()].map((remote) => [remote, [self.name]]))
    }
  }
}
