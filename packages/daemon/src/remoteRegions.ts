/**
 * Other regions to which a request may be forwarded.
 */

import type { RegionId } from '@cuminvale/common'
import type { RegionDigests, RegionPeer, RemoteRegionView, RoutingRequest, UpstreamTable } from '@cuminvale/routing'

export interface RemoteRegionsOptions {
  /** The region of this VM. */
  readonly region: RegionId
  readonly peers: () => readonly RegionPeer[]
  readonly regionDigests: Pick<RegionDigests, 'freeSlots'>
  readonly table: Pick<UpstreamTable, 'servingViews'>
}

const interRegionLatencyMilliseconds = 55

/**
 * Permitted regions with reachable VMs, and the free slots that they last
 * reported. A report may precede a change of the configuration, so a region in
 * which no configured upstream serves the request is left out.
 */
export const findRemoteRegions = ({ region: ownRegion, peers, regionDigests, table }: RemoteRegionsOptions, request: RoutingRequest): readonly RemoteRegionView[] => {
  if (!request.mayCrossBorder) return []
  const permitted = peers().filter(({ region }) => region !== ownRegion && request.allowedRegions.includes(region))
  const regions = [...new Set(permitted.map(({ region }) => region))]
  return regions.filter((region) => table.servingViews(region, request).length > 0).map((region) => ({
    region,
    vms: permitted.filter((peer) => peer.region === region).map(({ vm }) => vm),
    freeSlots: regionDigests.freeSlots(region, request),
    latencyMilliseconds: interRegionLatencyMilliseconds
  }))
}
