/**
 * Copies of usage counts kept on a peer, so that the loss of one VM loses none.
 */

import type { IncarnationId, RouteName, TeamId, VmId } from '@cuminvale/common'

export interface UsageCount {
  readonly team: TeamId
  readonly route: RouteName
  readonly requests: number
  readonly weighted: number
  readonly tokens: number
}

/** Counts of one incarnation, cumulative since its start. */
export interface MeteringCopy {
  readonly kind: 'metering.copy'
  readonly vm: VmId
  readonly incarnation: IncarnationId
  /** The counts are those that changed after this sequence number; 0 for all. */
  readonly base: number
  /** Requests completed by the incarnation; a higher sequence replaces a lower one. */
  readonly sequence: number
  /** Whether the incarnation has stopped counting. */
  readonly isFinal: boolean
  readonly counts: readonly UsageCount[]
}

/** States the sequence up to which the sender holds an incarnation's counts. */
export interface MeteringAcknowledge {
  readonly kind: 'metering.acknowledge'
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly sequence: number
  readonly isFinal: boolean
}

export type MeteringMessage = MeteringCopy | MeteringAcknowledge
