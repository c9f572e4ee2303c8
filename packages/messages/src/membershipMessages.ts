/**
 * Failure detection between VMs.
 */

import type { IncarnationId } from '@cuminvale/common'

export interface MembershipPing {
  readonly kind: 'membership.ping'
  readonly sequence: number
  readonly incarnation: IncarnationId
}

export interface MembershipAcknowledge {
  readonly kind: 'membership.acknowledge'
  readonly sequence: number
  readonly incarnation: IncarnationId
}

export type MembershipMessage = MembershipPing | MembershipAcknowledge
