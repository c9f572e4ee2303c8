/**
 * Types of the serving path: configured routes, services and teams, announced
 * upstreams, and the head of a caller's request.
 */

import type { Brand, FailureDomainId, RegionId, RouteName, TeamId, UpstreamId } from '@cuminvale/common'

export type ServiceName = Brand<string, 'ServiceName'>
/** Identifies one attempt of a caller; each retry by the caller has a new id. */
export type AttemptId = Brand<string, 'AttemptId'>
export type PromptPartId = Brand<string, 'PromptPartId'>
/** Names the software of an upstream, not its weights; versions have no order. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>

export const RequestKind = {
  /** May run any number of times. */
  Safe: 'safe',
  /** May run at most once per attempt. */
  Order: 'order',
  /** Answered by a stream of events; runs once, unless the route allows it to resume. */
  Stream: 'stream'
} as const
export type RequestKind = typeof RequestKind[keyof typeof RequestKind]

export interface WeightedService {
  readonly service: ServiceName
  readonly weight: number
}

export interface Route {
  readonly name: RouteName
  readonly host: string
  /** Starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RequestKind
  readonly isResumable: boolean
  readonly timeoutMilliseconds: number
  /** Promised time to the answer, or to the first event of a stream. */
  readonly objectiveMilliseconds: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly WeightedService[]
  readonly maximumAttempts: number
  readonly isPublic: boolean
  /** Regions that may serve the route; empty if every region may. */
  readonly homes: readonly RegionId[]
}

export interface ServedTeam {
  readonly id: TeamId
  readonly keys: readonly string[]
  /** Overrides the priority of the route if set. */
  readonly priority: number | undefined
  /** Whether rate and burst are in tokens; otherwise they are in requests. */
  readonly countsTokens: boolean
  /** Tokens charged for a request that states no size. */
  readonly plainTokens: number
  /** Zero means no limit. */
  readonly ratePerSecond: number
  readonly burst: number
  /** Regions that may serve the team; empty if every region may. */
  readonly homes: readonly RegionId[]
}

/** Capacity of each upstream of one service. */
export interface Service {
  readonly name: ServiceName
  /** Connections that one upstream accepts from all VMs together. */
  readonly connectionsPerUpstream: number
  /** Time for which an upstream that has just started counts as cold. */
  readonly coldSeconds: number
  /** Requests per second that a cold upstream can serve; zero if upstreams of this service are never cold. */
  readonly coldRequestsPerSecond: number
  /** Path at which upstreams tell of their health; undefined if they don't. */
  readonly healthPath?: string | undefined
  /** Whether upstreams batch token generation; those of plain services run one request per slot. */
  readonly isEngine: boolean
  readonly slots: number
  /** Prompt and generated tokens that fit into an engine's memory; zero for plain services. */
  readonly memoryTokens: number
}

export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMilliseconds: number
  readonly idleTimeoutMilliseconds: number
}

export interface ServingDocument {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly teams: readonly ServedTeam[]
  readonly limits: CallerLimits
}

/** The latest announcement of an upstream. */
export interface AnnouncedUpstream {
  readonly id: UpstreamId
  readonly service: ServiceName
  readonly host: string
  readonly port: number
  readonly failureDomain: FailureDomainId
  readonly slots: number
  /** Whether it only finishes the requests it has and accepts no new ones. */
  readonly isLeaving: boolean
  /** Time until it stops, even with requests running; undefined if not announced. */
  readonly leavesInMilliseconds: number | undefined
  readonly coldMilliseconds: number
  /** Wall-clock milliseconds of its start, by its own clock; distinguishes a restarted upstream from its previous run. */
  readonly startedAt: number | undefined
  readonly softwareVersion: SoftwareVersion
}

export interface PromptPart {
  readonly id: PromptPartId
  readonly tokens: number
}

export interface RequestTokens {
  readonly prompt: number
  /** Largest number of output tokens. */
  readonly output: number
  /** The caller's estimate of output tokens, which is often far off. */
  readonly outputHint?: number | undefined
}

export interface RequestHead {
  readonly attempt: AttemptId | undefined
  /** The caller's attempt that began the stream which this one takes up; undefined if it named none. */
  readonly resumes: AttemptId | undefined
  readonly method: string
  readonly host: string
  /** Path and query as the caller sent them. */
  readonly path: string
  readonly key: string | undefined
  readonly deadlineMilliseconds: number | undefined
  /** Undefined if the request states no size. */
  readonly tokens: RequestTokens | undefined
  readonly parts: readonly PromptPart[]
  /** Headers to pass on, as alternating names and values. */
  readonly headers: readonly string[]
}

/** A request that the configuration allows. */
export interface AdmittedRequest {
  readonly head: RequestHead
  readonly attempt: AttemptId
  readonly route: Route
  readonly service: ServiceName
  readonly team: ServedTeam | undefined
  readonly priority: number
  /** Whether the service is an engine that also serves more urgent routes. */
  readonly yieldsToMoreUrgent: boolean
  /** Regions that may run the request; undefined if every region may. */
  readonly regions: ReadonlySet<RegionId> | undefined
  /** Whether the request may be sent again after an earlier send may have run. */
  readonly isRepeatable: boolean
  /** Tokens or requests charged to the team; see ServedTeam.countsTokens. */
  readonly charge: number
  readonly configurationVersion: number
}
