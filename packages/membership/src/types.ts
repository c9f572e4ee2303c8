/**
 * A VM's view of the other VMs of the fleet.
 */

import type { IncarnationId, ListedVm, RegionId, VmId } from '@cuminvale/common'

export interface Member {
  readonly vm: ListedVm
  readonly reachable: boolean
  /** The newest incarnation known; undefined until a record of the VM has arrived. */
  readonly incarnation?: IncarnationId
}

export interface Membership {
  /** Replaces the list of VMs by the platform's latest one. */
  adoptList (vms: readonly ListedVm[]): void
  /** Handles the opening of a link to a peer. */
  onLinkUp (vm: VmId, incarnation: IncarnationId): void
  /** Handles the loss of the link to a peer. */
  onLinkDown (vm: VmId): void
  /** Every listed VM except this one. */
  readonly members: readonly Member[]
  /** The members that this VM keeps links to, whether the links are up or not. */
  readonly linkTargets: readonly Member[]
  find (vm: VmId): Member | undefined
  membersOfRegion (region: RegionId): readonly Member[]
  /** Whether this VM has received the VM list at least once. */
  readonly hasList: boolean
  /** Whether a newer incarnation of this VM is known, so that this process must stop serving. */
  readonly isReplaced: boolean
}

/** The VMs that a VM links to and pings. VMs with the same list and the same view compute plans that agree. */
export interface TopologyPlan {
  readonly linkTargets: ReadonlySet<VmId>
  /** Linked VMs of the same region that this VM pings and may suspect. */
  readonly regionPingTargets: ReadonlySet<VmId>
  /** Linked VMs of other regions, by region. They are pinged too, but never suspected. */
  readonly remotePingTargets: ReadonlyMap<RegionId, readonly VmId[]>
  /** For each other region, the VMs of this region that are linked to it and report whether it is reachable. */
  readonly watchersByRegion: ReadonlyMap<RegionId, readonly VmId[]>
}

export interface Topology {
  /** The list must contain the VM itself. VMs that have stopped remain link targets, but are not counted as watchers. */
  plan (self: ListedVm, vms: readonly ListedVm[], isRunning: (vm: VmId) => boolean): TopologyPlan
}
