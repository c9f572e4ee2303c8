/**
 * Failure detection between VMs, and the spread of what each VM says of itself.
 */

import type { IncarnationId, RegionId, VmId } from '@cuminvale/common'

export const MemberState = { Up: 'up', Suspected: 'suspected' } as const
export type MemberState = typeof MemberState[keyof typeof MemberState]

/** Ordered by generation, then version, then state: the later one replaces the earlier. */
export interface MemberRecord {
  readonly vm: VmId
  readonly incarnation: IncarnationId
  /** Rises with each incarnation of a VM. */
  readonly generation: number
  /** Rises each time the VM refutes a suspicion of itself. */
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

/** Records that the sender holds and the receiver may not. */
export interface MembershipRecords {
  readonly kind: 'membership.records'
  readonly records: readonly MemberRecord[]
}

/** Digests of the sender's records, by bucket of the VM's name. */
export interface MembershipDigest {
  readonly kind: 'membership.digest'
  readonly buckets: readonly number[]
  /** Whether the receiver should state its own digests where they differ. */
  readonly wantsReply: boolean
}

/** Other regions of which the sender hears none of the VMs that it watches there. */
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
