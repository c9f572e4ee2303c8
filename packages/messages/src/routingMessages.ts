/**
 * Load of upstreams.
 */

import type { UpstreamId } from '@cuminvale/common'

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

export type RoutingMessage = RoutingLoad
