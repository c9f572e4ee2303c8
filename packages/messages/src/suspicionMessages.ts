/**
 * Messages about requests that are suspected of crashing the upstreams that
 * run them.
 */

import type { TeamId, UpstreamId } from '@cuminvale/common'

export interface ReportedDeath {
  readonly upstream: UpstreamId
  /** Time from the crash until the message was sent. */
  readonly ageMilliseconds: number
}

export interface SuspicionReport {
  readonly kind: 'suspicion.report'
  /** Digest of the team, the route and the request body. */
  readonly digest: string
  readonly team: TeamId
  readonly deaths: readonly ReportedDeath[]
}

export type SuspicionMessage = SuspicionReport
