/**
 * Messages about the load of upstreams, within a region and between regions.
 */

import type { ModelName, RouteName, UpstreamId } from '@cuminvale/common'

/**
 * Changed loads, sent by the VM that polls the upstreams to the other VMs of
 * its region. `running` and `queued` have one entry for each entry of
 * `upstreams`: parallel lists take a fifth of the bytes of a list of objects.
 */
export interface RoutingLoad {
  readonly kind: 'routing.load'
  readonly upstreams: readonly UpstreamId[]
  readonly running: readonly number[]
  readonly queued: readonly number[]
  /** The subset of `upstreams` that are leaving. */
  readonly leaving: readonly UpstreamId[]
  /** Age of the oldest report in the message when it was sent. */
  readonly ageMilliseconds: number
}

/** Free capacity of a region for one route and model. */
export interface RegionCapacity {
  readonly route: RouteName
  readonly model?: ModelName
  readonly freeSlots: number
}

/** A summary of the load of the sender's region, sent to VMs of other regions. */
export interface RoutingDigest {
  readonly kind: 'routing.digest'
  readonly rooms: readonly RegionCapacity[]
}

export type RoutingMessage = RoutingLoad | RoutingDigest
