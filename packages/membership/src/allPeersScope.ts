/**
 * Baseline topology: a full mesh in which every VM links to and pings every other.
 */

import type { ListedVm, RegionId, VmId } from '@cuminvale/common'
import type { WatchPlan, WatchScope } from './types.js'

export class AllPeersScope implements WatchScope {
  plan (self: ListedVm, vms: readonly ListedVm[]): WatchPlan {
    const others = vms.filter(({ name }) => name !== self.name)
    const local = others.filter((vm) => vm.region === self.region).map(({ name }) => name)
    const remoteTargets = new Map<RegionId, VmId[]>()
    for (const vm of others.filter((other) => other.region !== self.region)) {
      remoteTargets.set(vm.region, [...remoteTargets.get(vm.region) ?? [], vm.name])
    }
    return {
      linked: new Set(others.map(({ name }) => name)),
      regionTargets: new Set(local),
      remoteTargets,
      watchersOf: new Map([...remoteTargets.keys()].map((remote) => [remote, [self.name]]))
    }
  }
}
