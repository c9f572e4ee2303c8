/**
 * Which upstream runs a request, or which region it is sent to.
 */

import type { ModelName, RegionId, RouteName, TeamId, UpstreamId, VmId } from '@cuminvale/common'
import type { Upstream } from '@cuminvale/documents'

export interface RoutingRequest {
  readonly team: TeamId
  readonly route: RouteName
  readonly model?: ModelName
  readonly allowedRegions: readonly RegionId[]
  /** Whether the request may still cross a region border. */
  readonly mayCrossBorder: boolean
  /** Upstreams that already failed this request. */
  readonly excluded: ReadonlySet<UpstreamId>
  readonly promptTokens: number
  readonly outputTokens: number
  /** Text whose prefix may be cached by an engine. */
  readonly prompt: string
}

/** What this VM knows of an upstream at the time of the choice. */
export interface UpstreamView {
  readonly upstream: Upstream
  /** Requests of this VM that the upstream is running. */
  readonly inFlight: number
  /** Requests running and queued in the last load report, of all VMs. */
  readonly reportedRunning: number
  readonly reportedQueued: number
  /** Age of the last load report in milliseconds; infinite where there is none. */
  readonly reportAgeMilliseconds: number
  /** Requests that occupy the upstream: those reported, with this VM's own changes since. */
  readonly occupancy: number
  /** By the configuration or by its own report. */
  readonly leaving: boolean
  /** Monotonic time at which it came, or came back after a silence. */
  readonly warmingSince: number | undefined
  /** Models that the engine reports as loaded; absent where it does not say. */
  readonly loaded: readonly ModelName[] | undefined
  readonly ejected: boolean
}

export interface RemoteRegionView {
  readonly region: RegionId
  /** VMs of the region that can take a forwarded request now. */
  readonly vms: readonly VmId[]
  /** Free slots that the region last reported for the request's route. */
  readonly freeSlots: number
  readonly latencyMilliseconds: number
}

export const RoutingChoiceKind = { Run: 'run', Forward: 'forward', Wait: 'wait', None: 'none' } as const

/** A decision with its runner-up and reason, for the log line and `explain`. */
export type RoutingChoice =
  | { readonly kind: typeof RoutingChoiceKind.Run, readonly upstream: UpstreamId, readonly runnerUp?: UpstreamId, readonly reason: string }
  | { readonly kind: typeof RoutingChoiceKind.Forward, readonly region: RegionId, readonly vm: VmId, readonly reason: string }
  | { readonly kind: typeof RoutingChoiceKind.Wait, readonly reason: string }
  | { readonly kind: typeof RoutingChoiceKind.None, readonly reason: string }

export interface RoutingSituation {
  readonly region: RegionId
  readonly upstreams: readonly UpstreamView[]
  readonly remoteRegions: readonly RemoteRegionView[]
  /** Time in which a queued request of the pool is expected to start. */
  readonly localWaitMilliseconds: number
}

export interface UpstreamChooser {
  choose (request: RoutingRequest, situation: RoutingSituation): RoutingChoice
  /** Notes that the request is sent to the upstream that was chosen for it. */
  sent? (request: RoutingRequest, upstream: UpstreamId): void
}
