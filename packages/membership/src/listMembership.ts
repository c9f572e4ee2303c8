/**
 * Membership from the VM list and the state of direct links: a listed VM
 * counts as reachable while its link is up.
 */

import type { IncarnationId, ListedVm, RegionId, VmId } from '@cuminvale/common'
import type { Member, Membership } from './types.js'

export class ListMembership implements Membership {
  private listedVms = new Map<VmId, ListedVm>()
  private readonly incarnations = new Map<VmId, IncarnationId>()
  private readonly reachable = new Set<VmId>()
  private cachedMembers: readonly Member[] | undefined
  private hasReceivedList = false

  constructor (private readonly self: VmId) {}

  get hasList (): boolean {
    return this.hasReceivedList
  }

  get linkTargets (): readonly Member[] {
    return this.members
  }

  get isReplaced (): boolean {
    return false
  }

  get members (): readonly Member[] {
    this.cachedMembers ??= [...this.listedVms.values()].map((vm) => this.memberOf(vm))
    return this.cachedMembers
  }

  adoptList (vms: readonly ListedVm[]): void {
    this.hasReceivedList = true
    this.listedVms = new Map(vms.filter((vm) => vm.name !== this.self).map((vm) => [vm.name, vm]))
    this.cachedMembers = undefined
  }

  onLinkUp (vm: VmId, incarnation: IncarnationId): void {
    if (this.reachable.has(vm) && this.incarnations.get(vm) === incarnation) return
    this.reachable.add(vm)
    this.incarnations.set(vm, incarnation)
    this.cachedMembers = undefined
  }

  onLinkDown (vm: VmId): void {
    this.reachable.delete(vm)
    this.cachedMembers = undefined
  }

  find (vm: VmId): Member | undefined {
    const listed = this.listedVms.get(vm)
    return listed === undefined ? undefined : this.memberOf(listed)
  }

  membersOfRegion (region: RegionId): readonly Member[] {
    return this.members.filter((member) => member.vm.region === region)
  }

  private memberOf (vm: ListedVm): Member {
    const incarnation = this.incarnations.get(vm.name)
    return {
      vm,
      reachable: this.reachable.has(vm.name),
      ...(incarnation === undefined ? {} : { incarnation })
    }
  }
}
