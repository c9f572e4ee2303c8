/**
 * What a VM believes about the others.
 */

import type { IncarnationId, ListedVm, RegionId, VmId } from '@cuminvale/common'

export interface Member {
  readonly vm: ListedVm
  readonly reachable: boolean
  /** The newest incarnation known; undefined before the first word of it. */
  readonly incarnation?: IncarnationId
}

export interface Membership {
  /** Adopts the platform's VM list. */
  adoptList (vms: readonly ListedVm[]): void
  /** Notes that the link to a peer came up. */
  heard (vm: VmId, incarnation: IncarnationId): void
  /** Notes that the link to a peer broke. */
  lost (vm: VmId): void
  /** Every listed VM but this one. */
  readonly members: readonly Member[]
  /** The members to keep links to. */
  readonly linked: readonly Member[]
  find (vm: VmId): Member | undefined
  inRegion (region: RegionId): readonly Member[]
  /** Whether this VM has seen the VM list. */
  readonly hasList: boolean
  /** Whether a newer incarnation of this VM's name is known, so that this one must stop serving. */
  readonly isReplaced: boolean
}

/** Which VMs a VM links to and pings, worked out alike by VMs that hold the same list and view. */
export interface WatchPlan {
  readonly linked: ReadonlySet<VmId>
  /** Linked VMs of the own region that this VM pings and may suspect. */
  readonly regionTargets: ReadonlySet<VmId>
  /** Linked VMs of other regions, by region; they are pinged too. */
  readonly remoteTargets: ReadonlyMap<RegionId, readonly VmId[]>
  /** For each other region, the VMs of the own region that are linked to it. */
  readonly watchersOf: ReadonlyMap<RegionId, readonly VmId[]>
}

export interface WatchScope {
  /** Plans for a list that shows the VM itself; VMs that have stopped stay linked, but watch for nobody. */
  plan (self: ListedVm, vms: readonly ListedVm[], isRunning: (vm: VmId) => boolean): WatchPlan
}
