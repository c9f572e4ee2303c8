/**
 * What this VM knows of the upstreams of its region: its own requests in
 * flight, the last load reports, and upstreams set aside after failures.
 */

import type { Clock, UpstreamId } from '@cuminvale/common'
import type { Configuration, Upstream } from '@cuminvale/documents'
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
  failures: number
  ejectedUntil: number
}

const failuresBeforeEjection = 3
const ejectionMilliseconds = 5_000

export class UpstreamTable {
  private readonly states = new Map<UpstreamId, UpstreamState>()

  constructor (private readonly clock: Clock) {}

  configure (configuration: Configuration): void {
    for (const name of this.states.keys()) {
      if (!configuration.upstreams.has(name)) this.states.delete(name)
    }
    for (const upstream of configuration.upstreams.values()) {
      const state = this.states.get(upstream.name)
      if (state !== undefined) state.upstream = upstream
      else this.states.set(upstream.name, newState(upstream))
    }
  }

  views (): readonly UpstreamView[] {
    const now = this.clock.monotonic()
    return [...this.states.values()].map((state) => viewOf(state, now))
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
    state.failures = succeeded ? 0 : state.failures + 1
    if (state.failures < failuresBeforeEjection) return
    state.failures = 0
    state.ejectedUntil = this.clock.monotonic() + ejectionMilliseconds
  }

  report (name: UpstreamId, sample: LoadSample): void {
    const state = this.states.get(name)
    if (state === undefined) return
    state.sample = sample
    state.sampledAt = this.clock.monotonic() - sample.ageMilliseconds
  }
}

const newState = (upstream: Upstream): UpstreamState => ({
  upstream, inFlight: 0, sample: undefined, sampledAt: 0, failures: 0, ejectedUntil: 0
})

const viewOf = (state: UpstreamState, now: number): UpstreamView => ({
  upstream: state.sample?.leaving === true ? { ...state.upstream, leaving: true } : state.upstream,
  inFlight: state.inFlight,
  reportedRunning: state.sample?.running ?? 0,
  reportedQueued: state.sample?.queued ?? 0,
  reportAgeMilliseconds: state.sample === undefined ? Infinity : now - state.sampledAt,
  ejected: state.ejectedUntil > now
})
