/**
 * The hard filter before any score: residency, route, model, leaving and
 * ejected upstreams.
 */

import type { RegionId } from '@cuminvale/common'
import type { RoutingRequest, UpstreamView } from './types.js'

const serves = (request: RoutingRequest, view: UpstreamView): boolean =>
  view.upstream.routes.includes(request.route) &&
  (request.model === undefined || view.upstream.models.includes(request.model))

/** Upstreams of the region that may run the request at all. */
export const eligibleUpstreams = (
  request: RoutingRequest,
  region: RegionId,
  upstreams: readonly UpstreamView[]
): readonly UpstreamView[] => {
  if (!request.allowedRegions.includes(region)) return []
  return upstreams.filter((view) => view.upstream.region === region && serves(request, view) &&
    !view.upstream.leaving && !view.ejected && !request.excluded.has(view.upstream.name))
}

/** Requests that occupy an upstream: reported ones, or this VM's own where the report lags behind. */
export const occupancy = (view: UpstreamView): number =>
  Math.max(view.inFlight, view.reportedRunning + view.reportedQueued)
