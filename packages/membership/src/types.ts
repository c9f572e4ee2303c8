/**
 * What a VM believes about the others.
 */

import type { IncarnationId, ListedVm, RegionId, VmId } from '@cuminvale/common'

export interface Member {
  readonly vm: ListedVm
  readonly reachable: boolean
  /** The incarnation last heard from; undefined before the first contact. */
  readonly incarnation?: IncarnationId
}

export interface Membership {
  /** Adopts the platform's VM list. */
  adoptList (vms: readonly ListedVm[]): void
  /** Notes that a peer was heard from. */
  heard (vm: VmId, incarnation: IncarnationId): void
  /** Notes that the link to a peer broke. */
  lost (vm: VmId): void
  /** Every listed VM but this one. */
  readonly members: readonly Member[]
  find (vm: VmId): Member | undefined
  inRegion (region: RegionId): readonly Member[]
  /** Whether this VM has seen the VM list. */
  readonly hasList: boolean
}
