/**
 * Copies of recorded order outcomes, kept on a peer in another failure domain.
 */

import type { IncarnationId, TeamId, VmId } from '@cuminvale/common'

export interface RecordedAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

export interface OrderCopy {
  readonly kind: 'orders.copy'
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly counter: number
  readonly team: TeamId
  /** Milliseconds since the Unix epoch after which the copy may be forgotten. */
  readonly expiresAt: number
  readonly answer: RecordedAnswer
}

export type OrderMessage = OrderCopy
