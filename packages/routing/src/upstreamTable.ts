/**
 * What this VM knows of the configured upstreams: its own requests in flight,
 * the last load reports, and ejections after failures.
 */

import type { Clock, RegionId, UpstreamId } from '@cuminvale/common'
import type { Configuration, Upstream } from '@cuminvale/documents'
import { OutlierEjection } from './outlierEjection.js'
import { UpstreamState } from './upstreamState.js'
import { serves } from './eligibleUpstreams.js'
import type { LoadSample } from './upstreamState.js'
import type { RoutingRequest, UpstreamView } from './types.js'

export class UpstreamTable {
  private readonly states = new Map<UpstreamId, UpstreamState>()
  private readonly serving = new Map<string, readonly UpstreamView[]>()
  private readonly ejection: OutlierEjection

  constructor (private readonly clock: Clock) {
    this.ejection = new OutlierEjection({ clock, upstreamCount: () => this.states.size })
  }

  configure (configuration: Configuration): void {
    for (const name of this.states.keys()) {
      if (!configuration.upstreams.has(name)) this.forget(name)
    }
    const startsCold = this.states.size > 0
    for (const upstream of configuration.upstreams.values()) {
      const state = this.states.get(upstream.name)
      if (state !== undefined) state.upstream = upstream
      else this.states.set(upstream.name, this.newState(upstream, startsCold))
    }
    this.serving.clear()
  }

  views (): readonly UpstreamView[] {
    return [...this.states.values()]
  }

  /** Upstreams of a region that serve a route and model; returns the same array until the configuration changes. */
  servingViews (region: RegionId, request: Pick<RoutingRequest, 'route' | 'model'>): readonly UpstreamView[] {
    const key = `${region} ${request.route} ${request.model ?? ''}`
    const cached = this.serving.get(key)
    if (cached !== undefined) return cached
    const views = this.views().filter(({ upstream }) => upstream.region === region && serves(request, upstream))
    this.serving.set(key, views)
    return views
  }

  find (name: UpstreamId): Upstream | undefined {
    return this.states.get(name)?.upstream
  }

  beginRequest (name: UpstreamId): void {
    this.states.get(name)?.beginRequest()
  }

  endRequest (name: UpstreamId, succeeded: boolean): void {
    const state = this.states.get(name)
    if (state === undefined) return
    state.endRequest()
    if (succeeded) this.ejection.succeeded(name)
    else this.ejection.failed(name)
  }

  report (name: UpstreamId, sample: LoadSample): void {
    this.states.get(name)?.report(sample)
  }

  private newState (upstream: Upstream, startsCold: boolean): UpstreamState {
    return new UpstreamState(upstream, this.clock, () => this.ejection.isEjected(upstream.name), startsCold)
  }

  private forget (name: UpstreamId): void {
    this.states.delete(name)
    this.ejection.forget(name)
  }
}
