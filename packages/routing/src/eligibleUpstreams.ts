/**
 * Hard filter that applies before upstreams are ranked: residency, route and
 * model, and no upstream that is leaving, ejected or already failed the request.
 */

import type { RegionId } from '@cuminvale/common'
import type { Upstream } from '@cuminvale/documents'
import type { RoutingRequest, UpstreamView } from './types.js'

export const serves = (request: Pick<RoutingRequest, 'route' | 'model'>, upstream: Upstream): boolean =>
  upstream.routes.includes(request.route) &&
  (request.model === undefined || upstream.models.includes(request.model))

/** Upstreams of the region that may run the request. */
export const eligibleUpstreams = (
  request: RoutingRequest,
  region: RegionId,
  upstreams: readonly UpstreamView[]
): readonly UpstreamView[] => {
  if (!request.allowedRegions.includes(region)) return []
  return upstreams.filter((view) => view.upstream.region === region && serves(request, view.upstream) &&
    !view.leaving && !view.ejected && !request.excluded.has(view.upstream.name))
}
