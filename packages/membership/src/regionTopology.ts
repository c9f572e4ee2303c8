/**
 * Topology whose cost per VM grows with the region and not with the fleet. A VM
 * links to every VM of its region and pings its successors on a hash ring. Each
 * pair of regions is joined by a few links, and each VM chooses a few more to
 * other regions. Both are chosen by rendezvous hashing, so that both ends
 * choose the same links and a new VM moves few of them.
 */

import { groupBy } from '@cuminvale/common'
import type { ListedVm, RegionId, VmId } from '@cuminvale/common'
import { defaultFullMeshVmLimit, chosenRemoteLinksPerVm, regionPingTargetCount } from './constants.js'
import { hashPair, hashText } from './hash.js'
import { linksBetween } from './regionLinks.js'
import type { HashedVm } from './regionLinks.js'
import type { TopologyPlan, Topology } from './types.js'

type RegionGroups = ReadonlyMap<RegionId, readonly HashedVm[]>

const byHash = (first: HashedVm, second: HashedVm): number =>
  first.hash - second.hash || (first.vm.name < second.vm.name ? -1 : 1)

const groupByRegion = (vms: readonly HashedVm[]): RegionGroups => groupBy(vms, ({ vm }) => vm.region)

const successorsOf = (self: VmId, region: readonly HashedVm[]): ReadonlySet<VmId> => {
  const ring = [...region].sort(byHash)
  const start = ring.findIndex(({ vm }) => vm.name === self)
  const following = [...ring.slice(start + 1), ...ring.slice(0, Math.max(0, start))]
  return new Set(following.slice(0, regionPingTargetCount).map(({ vm }) => vm.name))
}

/** The highest-ranked VMs of other regions for a VM, as many as it chooses links to. */
const remoteChoicesOf = (chooser: HashedVm, others: readonly HashedVm[]): readonly HashedVm[] => {
  let best: Array<{ readonly hashed: HashedVm, readonly rank: number }> = []
  for (const hashed of others) {
    if (hashed.vm.region === chooser.vm.region) continue
    const rank = hashPair(chooser.hash, hashed.hash)
    const last = best[chosenRemoteLinksPerVm - 1]
    if (last !== undefined && last.rank >= rank) continue
    best = [...best, { hashed, rank }].sort((first, second) => second.rank - first.rank).slice(0, chosenRemoteLinksPerVm)
  }
  return best.map(({ hashed }) => hashed)
}

class PlanBuilder {
  readonly linkTargets = new Set<VmId>()
  readonly remotePingTargets = new Map<RegionId, VmId[]>()
  readonly watchersByRegion = new Map<RegionId, readonly VmId[]>()

  constructor (private readonly self: ListedVm) {}

  addRemoteLink ({ name, region }: ListedVm): void {
    if (this.linkTargets.has(name)) return
    this.linkTargets.add(name)
    const targets = this.remotePingTargets.get(region)
    if (targets === undefined) this.remotePingTargets.set(region, [name])
    else targets.push(name)
  }

  /** Adds the links to another region that end at this VM. Returns the local ends of all links between the two regions. */
  addRegionPairLinks (local: readonly HashedVm[], remote: readonly HashedVm[]): readonly VmId[] {
    const links = linksBetween(local, remote)
    for (const link of links) {
      if (link.local.name === this.self.name) this.addRemoteLink(link.remote)
    }
    return [...new Set(links.map((link) => link.local.name))]
  }
}

export class RegionTopology implements Topology {
  /** Fleets of up to this many VMs are linked as a full mesh; the ping targets do not change. */
  constructor (private readonly fullMeshVmLimit: number = defaultFullMeshVmLimit) {}

  plan (self: ListedVm, vms: readonly ListedVm[], isRunning: (vm: VmId) => boolean): TopologyPlan {
    const hashed = vms.map((vm): HashedVm => ({ vm, hash: hashText(vm.name) }))
    const groups = groupByRegion(hashed)
    const running = groupByRegion(hashed.filter(({ vm }) => vm.name === self.name || isRunning(vm.name)))
    const local = groups.get(self.region) ?? []
    const builder = new PlanBuilder(self)
    for (const { vm } of local) {
      if (vm.name !== self.name) builder.linkTargets.add(vm.name)
    }
    this.addChosenLinks(builder, self, hashed)
    for (const [region, remote] of groups) {
      if (region === self.region) continue
      // Links chosen among all listed VMs, then those that running VMs take over from stopped ones.
      builder.addRegionPairLinks(local, remote)
      const watchers = builder.addRegionPairLinks(running.get(self.region) ?? [], running.get(region) ?? remote)
      builder.watchersByRegion.set(region, watchers)
    }
    if (vms.length <= this.fullMeshVmLimit) vms.filter(({ name }) => name !== self.name).forEach(({ name }) => builder.linkTargets.add(name))
    return { ...builder, regionPingTargets: successorsOf(self.name, local) }
  }

  /** Adds the links that this VM chooses, and those of VMs that choose this one. */
  private addChosenLinks (builder: PlanBuilder, self: ListedVm, hashed: readonly HashedVm[]): void {
    const own = hashed.find(({ vm }) => vm.name === self.name)
    if (own === undefined) return
    remoteChoicesOf(own, hashed).forEach(({ vm }) => builder.addRemoteLink(vm))
    for (const other of hashed) {
      if (other.vm.region === self.region) continue
      if (remoteChoicesOf(other, hashed).includes(own)) builder.addRemoteLink(other.vm)
    }
  }
}
