/**
 * Free slots that other regions last reported, less the requests that this VM
 * has forwarded to them since. A stale digest counts as no free slots.
 */

import type { Clock, RegionId } from '@cuminvale/common'
import type { RegionCapacity } from '@cuminvale/messages'
import type { RoutingRequest } from './types.js'

interface ReceivedDigest {
  readonly receivedAt: number
  readonly rooms: ReadonlyMap<string, number>
  readonly sent: Map<string, number>
}

export const staleDigestMilliseconds = 6_000

const routeAndModelKey = ({ route, model }: Pick<RoutingRequest, 'route' | 'model'>): string => `${route} ${model ?? ''}`

export interface RegionDigestsOptions {
  readonly clock: Clock
  /** Number of VMs of this region, which all receive the same digests. */
  readonly vmCount: () => number
}

export class RegionDigests {
  private readonly held = new Map<RegionId, ReceivedDigest>()

  constructor (private readonly options: RegionDigestsOptions) {}

  receive (region: RegionId, rooms: readonly RegionCapacity[]): void {
    this.held.set(region, {
      receivedAt: this.options.clock.monotonic(),
      rooms: new Map(rooms.map((room) => [routeAndModelKey(room), room.freeSlots])),
      sent: new Map()
    })
  }

  /** This VM's share of the region's free slots. */
  freeSlots (region: RegionId, request: Pick<RoutingRequest, 'route' | 'model'>): number {
    const digest = this.held.get(region)
    if (digest === undefined || this.options.clock.monotonic() - digest.receivedAt > staleDigestMilliseconds) return 0
    const share = (digest.rooms.get(routeAndModelKey(request)) ?? 0) / Math.max(1, this.options.vmCount())
    return Math.max(0, share - (digest.sent.get(routeAndModelKey(request)) ?? 0))
  }

  sent (region: RegionId, request: Pick<RoutingRequest, 'route' | 'model'>): void {
    const sent = this.held.get(region)?.sent
    sent?.set(routeAndModelKey(request), (sent.get(routeAndModelKey(request)) ?? 0) + 1)
  }
}
