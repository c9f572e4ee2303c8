/**
 * What this VM knows of the upstreams of its region: its own requests in
 * flight, the last load reports, and upstreams set aside after failures.
 */

import type { Clock, UpstreamId } from '@cuminvale/common'
import type { Configuration, Upstream } from '@cuminvale/documents'
import { OutlierEjection } from './outlierEjection.js'
import type { UpstreamView } from './types.js'

export interface LoadSample {
  readonly running: number
  readonly queued: number
  readonly ageMilliseconds: number
  readonly leaving: boolean
}

interface UpstreamState {
  upstream: Upstream
  inFlight: number
  sample: LoadSample | undefined
  sampledAt: number
}

export class UpstreamTable {
  private readonly states = new Map<UpstreamId, UpstreamState>()

  private readonly ejection: OutlierEjection

  constructor (private readonly clock: Clock) {
    this.ejection = new OutlierEjection({ clock, upstreamCount: () => this.states.size })
  }

  configure (configuration: Configuration): void {
    for (const name of this.states.keys()) {
      if (!configuration.upstreams.has(name)) this.forget(name)
    }
    for (const upstream of configuration.upstreams.values()) {
      const state = this.states.get(upstream.name)
      if (state !== undefined) state.upstream = upstream
      else this.states.set(upstream.name, newState(upstream))
    }
  }

  views (): readonly UpstreamView[] {
    const now = this.clock.monotonic()
    return [...this.states.values()].map((state) => viewOf(state, now, this.ejection.isEjected(state.upstream.name)))
  }

  find (name: UpstreamId): Upstream | undefined {
    return this.states.get(name)?.upstream
  }

  begin (name: UpstreamId): void {
    const state = this.states.get(name)
    if (state !== undefined) state.inFlight += 1
  }

  end (name: UpstreamId, succeeded: boolean): void {
    const state = this.states.get(name)
    if (state === undefined) return
    state.inFlight = Math.max(0, state.inFlight - 1)
    if (succeeded) this.ejection.succeeded(name)
    else this.ejection.failed(name)
  }

  report (name: UpstreamId, sample: LoadSample): void {
    const state = this.states.get(name)
    if (state === undefined) return
    state.sample = sample
    state.sampledAt = this.clock.monotonic() - sample.ageMilliseconds
  }

  private forget (name: UpstreamId): void {
    this.states.delete(name)
    this.ejection.forget(name)
  }
}

const newState = (upstream: Upstream): UpstreamState => ({
  upstream, inFlight: 0, sample: undefined, sampledAt: 0
})

const viewOf = (state: UpstreamState, now: number, ejected: boolean): UpstreamView => ({
  upstream: state.sample?.leaving === true ? { ...state.upstream, leaving: true } : state.upstream,
  inFlight: state.inFlight,
  reportedRunning: state.sample?.running ?? 0,
  reportedQueued: state.sample?.queued ?? 0,
  reportAgeMilliseconds: state.sample === undefined ? Infinity : now - state.sampledAt,
  ejected
})
