/**
 * Load of upstreams, within a region and between regions.
 */

import type { ModelName, RouteName, UpstreamId } from '@cuminvale/common'

/**
 * Loads that changed, from the VM that watches the upstreams to the VMs of
 * its region. One entry of each list for each upstream, which takes a fifth
 * of the bytes of a list of objects.
 */
export interface RoutingLoad {
  readonly kind: 'routing.load'
  readonly upstreams: readonly UpstreamId[]
  readonly running: readonly number[]
  readonly queued: readonly number[]
  /** Those of the upstreams that are leaving. */
  readonly leaving: readonly UpstreamId[]
  /** Age of the oldest report when the message was sent, in milliseconds. */
  readonly ageMilliseconds: number
}

/** What a region has free for one route and model. */
export interface RegionRoom {
  readonly route: RouteName
  readonly model?: ModelName
  readonly freeSlots: number
}

/** A summary of a region's load, to the VMs of another region. */
export interface RoutingDigest {
  readonly kind: 'routing.digest'
  readonly rooms: readonly RegionRoom[]
}

export type RoutingMessage = RoutingLoad | RoutingDigest
