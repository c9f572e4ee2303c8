/**
 * Messages for failure detection between VMs, and for distributing the record
 * that each VM publishes about itself.
 */

import type { IncarnationId, RegionId, VmId } from '@cuminvale/common'

export const MemberState = { Up: 'up', Suspected: 'suspected' } as const
export type MemberState = typeof MemberState[keyof typeof MemberState]

/** Records of a VM are ordered by generation, version and state, in this order; a later record replaces an earlier one. */
export interface MemberRecord {
  readonly vm: VmId
  readonly incarnation: IncarnationId
  /** Increases with each incarnation of the VM. */
  readonly generation: number
  /** Increases each time the VM refutes a suspicion that it has failed. */
  readonly version: number
  readonly state: MemberState
}

export interface MembershipPing {
  readonly kind: 'membership.ping'
  readonly sequence: number
}

export interface MembershipAcknowledge {
  readonly kind: 'membership.acknowledge'
  readonly sequence: number
}

/** Records that the receiver may not have. */
export interface MembershipRecords {
  readonly kind: 'membership.records'
  readonly records: readonly MemberRecord[]
}

/** Digests of the sender's records, one for each bucket of VM names. */
export interface MembershipDigest {
  readonly kind: 'membership.digest'
  readonly buckets: readonly number[]
  /** Whether the receiver should reply with its own digests if they differ. */
  readonly wantsReply: boolean
}

/** Other regions in which the sender hears none of the VMs that it is linked to. */
export interface MembershipRegions {
  readonly kind: 'membership.regions'
  readonly unreachable: readonly RegionId[]
}

export type MembershipMessage =
  | MembershipPing
  | MembershipAcknowledge
  | MembershipRecords
  | MembershipDigest
  | MembershipRegions
