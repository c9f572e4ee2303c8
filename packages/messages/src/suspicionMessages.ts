/**
 * Requests suspected of crashing the upstreams that run them.
 */

import type { TeamId, UpstreamId } from '@cuminvale/common'

export interface ReportedDeath {
  readonly upstream: UpstreamId
  /** Age of the death when the message was sent, in milliseconds. */
  readonly ageMilliseconds: number
}

export interface SuspicionReport {
  readonly kind: 'suspicion.report'
  /** Digest of team, route and body. */
  readonly digest: string
  readonly team: TeamId
  readonly deaths: readonly ReportedDeath[]
}

export type SuspicionMessage = SuspicionReport
