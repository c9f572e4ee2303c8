/**
 * Load of upstreams and requests suspected of crashing them.
 */

import type { TeamId, UpstreamId } from '@cuminvale/common'

export interface UpstreamLoad {
  readonly upstream: UpstreamId
  readonly running: number
  readonly queued: number
  /** Age of the report when the message was sent, in milliseconds. */
  readonly ageMilliseconds: number
}

export interface RoutingLoad {
  readonly kind: 'routing.load'
  readonly loads: readonly UpstreamLoad[]
}

export interface RoutingSuspect {
  readonly kind: 'routing.suspect'
  readonly digest: string
  readonly team: TeamId
  readonly deaths: number
  readonly remainingMilliseconds: number
}

export type RoutingMessage = RoutingLoad | RoutingSuspect
