/**
 * Messages that copy usage counts to a peer, so that no counts are lost when
 * one VM fails.
 */

import type { IncarnationId, RouteName, TeamId, VmId } from '@cuminvale/common'

export interface UsageCount {
  readonly team: TeamId
  readonly route: RouteName
  readonly requests: number
  /** Sum of the requests' weights. */
  readonly weighted: number
  readonly tokens: number
}

/** Counts of one incarnation; each is cumulative since the start of the incarnation. */
export interface MeteringCopy {
  readonly kind: 'metering.copy'
  readonly vm: VmId
  readonly incarnation: IncarnationId
  /** Only counts that changed after this sequence number are included; 0 includes all. */
  readonly base: number
  /** Number of requests that the incarnation has completed; a copy with a higher number replaces one with a lower. */
  readonly sequence: number
  /** Whether the incarnation has ended, so that its counts won't change. */
  readonly isFinal: boolean
  readonly counts: readonly UsageCount[]
}

/** Confirms the sequence number up to which the sender holds an incarnation's counts. */
export interface MeteringAcknowledge {
  readonly kind: 'metering.acknowledge'
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly sequence: number
  readonly isFinal: boolean
}

export type MeteringMessage = MeteringCopy | MeteringAcknowledge
