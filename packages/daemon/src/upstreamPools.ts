/**
 * Names the pool of upstreams that can run a request. Routes and models that are served by the same
 * upstreams share a pool, and therefore a queue.
 */

import type { RegionId } from '@cuminvale/common'
import type { Configuration } from '@cuminvale/documents'
import type { RoutingRequest } from '@cuminvale/routing'

export interface UpstreamPoolsOptions {
  readonly region: RegionId
  readonly configuration: () => Configuration | undefined
}

export class UpstreamPools {
  private readonly poolNames = new Map<string, string>()
  private namedConfiguration: Configuration | undefined

  constructor (private readonly options: UpstreamPoolsOptions) {}

  /** Requests that may not run in this region, or that exclude some upstreams, wait in separate pools. */
  poolOf (request: RoutingRequest): string {
    if (!request.allowedRegions.includes(this.options.region)) {
      return `away ${this.routeKey(request)} ${[...request.allowedRegions].sort().join()}`
    }
    const name = this.localPoolName(request)
    return request.excluded.size === 0 ? name : `${name} without ${[...request.excluded].sort().join()}`
  }

  private localPoolName (request: RoutingRequest): string {
    const configuration = this.options.configuration()
    if (configuration !== this.namedConfiguration) this.poolNames.clear()
    this.namedConfiguration = configuration
    const key = this.routeKey(request)
    const existing = this.poolNames.get(key)
    if (existing !== undefined) return existing
    const name = this.joinedUpstreamNames(request, configuration)
    this.poolNames.set(key, name)
    return name
  }

  private routeKey (request: RoutingRequest): string {
    return `${request.route} ${request.model ?? ''}`
  }

  private joinedUpstreamNames (request: RoutingRequest, configuration: Configuration | undefined): string {
    return [...configuration?.upstreams.values() ?? []]
      .filter((upstream) => upstream.region === this.options.region && upstream.routes.includes(request.route) &&
        (request.model === undefined || upstream.models.includes(request.model)))
      .map((upstream) => upstream.name)
      .sort()
      .join()
  }
}
