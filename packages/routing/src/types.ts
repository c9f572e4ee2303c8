/**
 * Types of the routing decision: which upstream runs a request, or which
 * region it is forwarded to.
 */

import type { ModelName, RegionId, RouteName, TeamId, UpstreamId, VmId } from '@cuminvale/common'
import type { Upstream } from '@cuminvale/documents'

export interface RoutingRequest {
  readonly team: TeamId
  readonly route: RouteName
  readonly model?: ModelName
  readonly allowedRegions: readonly RegionId[]
  /** Whether the request may still be forwarded to another region. */
  readonly mayCrossBorder: boolean
  /** Upstreams that already failed this request. */
  readonly excluded: ReadonlySet<UpstreamId>
  readonly promptTokens: number
  readonly outputTokens: number
  /** Prompt text, a prefix of which an engine may have cached. */
  readonly prompt: string
}

/** What this VM knows of an upstream at the time of the choice. */
export interface UpstreamView {
  readonly upstream: Upstream
  /** Requests that this VM has in flight to the upstream. */
  readonly inFlight: number
  /** Running and queued requests of all VMs in the last load report. */
  readonly reportedRunning: number
  readonly reportedQueued: number
  /** Age of the last load report in milliseconds; infinite if there is none. */
  readonly reportAgeMilliseconds: number
  /** Estimated load: the requests of the last report, adjusted by those that this VM started or ended since. */
  readonly occupancy: number
  /** Whether the configuration or the upstream's own report says that it is leaving. */
  readonly leaving: boolean
  /** Monotonic time at which the upstream was added, or reported again after a period without reports; undefined if neither happened. */
  readonly warmingSince: number | undefined
  /** Models that the engine reports as loaded; undefined if it does not report them. */
  readonly loaded: readonly ModelName[] | undefined
  readonly ejected: boolean
}

export interface RemoteRegionView {
  readonly region: RegionId
  /** VMs of the region to which a request can be forwarded. */
  readonly vms: readonly VmId[]
  /** This VM's share of the free slots that the region last reported for the request's route and model. */
  readonly freeSlots: number
  readonly latencyMilliseconds: number
}

export const RoutingChoiceKind = { Run: 'run', Forward: 'forward', Wait: 'wait', None: 'none' } as const

/** A routing decision; the log line and `explain` show its runner-up and reason. */
export type RoutingChoice =
  | { readonly kind: typeof RoutingChoiceKind.Run, readonly upstream: UpstreamId, readonly runnerUp?: UpstreamId, readonly reason: string }
  | { readonly kind: typeof RoutingChoiceKind.Forward, readonly region: RegionId, readonly vm: VmId, readonly reason: string }
  | { readonly kind: typeof RoutingChoiceKind.Wait, readonly reason: string }
  | { readonly kind: typeof RoutingChoiceKind.None, readonly reason: string }

export interface RoutingSituation {
  readonly region: RegionId
  readonly upstreams: readonly UpstreamView[]
  readonly remoteRegions: readonly RemoteRegionView[]
  /** Expected time until a queued request of the local pool starts. */
  readonly localWaitMilliseconds: number
}

export interface UpstreamChooser {
  choose (request: RoutingRequest, situation: RoutingSituation): RoutingChoice
  /** Records that the request was sent to the upstream chosen for it. */
  sent? (request: RoutingRequest, upstream: UpstreamId): void
}
