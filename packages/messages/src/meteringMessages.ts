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

/** Cumulative counts of one incarnation; a higher sequence replaces a lower one. */
export interface MeteringCopy {
  readonly kind: 'metering.copy'
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly sequence: number
  readonly counts: readonly UsageCount[]
}

export type MeteringMessage = MeteringCopy
