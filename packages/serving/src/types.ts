/**
 * What the serving path works with: routes and teams of a configuration,
 * upstreams that announce themselves, and the head of a caller's request.
 */

import type { Brand, FailureDomainId, RegionId, RouteName, TeamId, UpstreamId } from '@cuminvale/common'

export type ServiceName = Brand<string, 'ServiceName'>
/** One attempt of a caller; a caller's retry has another one. */
export type AttemptId = Brand<string, 'AttemptId'>
export type PromptPartId = Brand<string, 'PromptPartId'>

export const RequestKind = {
  /** May run any number of times. */
  Safe: 'safe',
  /** May run once for each attempt. */
  Order: 'order',
  /** Answered by events; runs once, unless the route lets it resume. */
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
  /** Time to the answer, or to the first event, that callers are promised. */
  readonly objectiveMilliseconds: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly WeightedService[]
  readonly maximumAttempts: number
  readonly isPublic: boolean
  /** Regions that may serve it; empty where all may. */
  readonly homes: readonly RegionId[]
}

export interface ServedTeam {
  readonly id: TeamId
  readonly keys: readonly string[]
  /** Overrides the priority of the route where set. */
  readonly priority: number | undefined
  /** Whether rate and burst count tokens; requests otherwise. */
  readonly countsTokens: boolean
  /** Charge of a request that states no tokens. */
  readonly plainTokens: number
  /** Zero where there is no limit. */
  readonly ratePerSecond: number
  readonly burst: number
  readonly homes: readonly RegionId[]
}

export interface ServiceShape {
  readonly name: ServiceName
  /** Connections that one upstream accepts, of all callers together. */
  readonly connectionsPerUpstream: number
  readonly coldSeconds: number
  /** Requests a second that a cold upstream bears; zero where none is ever cold. */
  readonly coldRequestsPerSecond: number
  /** Whether upstreams batch token generation, rather than run one request a slot. */
  readonly isEngine: boolean
  readonly slots: number
  /** Prompt and generated tokens that fit into an upstream's memory; zero for other services. */
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
  readonly services: readonly ServiceShape[]
  readonly teams: readonly ServedTeam[]
  readonly limits: CallerLimits
}

/** An upstream as it announced itself. */
export interface AnnouncedUpstream {
  readonly id: UpstreamId
  readonly service: ServiceName
  readonly host: string
  readonly port: number
  readonly failureDomain: FailureDomainId
  readonly slots: number
  /** It finishes what it has and takes nothing new. */
  readonly isLeaving: boolean
  /** Time in which it will be gone, whatever it runs; undefined where it did not say. */
  readonly leavesInMilliseconds: number | undefined
  readonly coldMilliseconds: number
  /** Wall-clock milliseconds of its start, by its own clock; tells one run from the next. */
  readonly startedAt: number | undefined
}

export interface PromptPart {
  readonly id: PromptPartId
  readonly tokens: number
}

export interface RequestHead {
  readonly attempt: AttemptId | undefined
  readonly method: string
  readonly host: string
  /** Path and query as the caller sent them. */
  readonly path: string
  readonly key: string | undefined
  readonly deadlineMilliseconds: number | undefined
  /** Undefined where the request states no size. */
  readonly tokens: { readonly prompt: number, readonly output: number } | undefined
  readonly parts: readonly PromptPart[]
  /** Headers to pass on, name and value by turns. */
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
  /** Whether more urgent routes are served by the same service. */
  readonly yields: boolean
  /** Regions that may run it; undefined where all may. */
  readonly regions: ReadonlySet<RegionId> | undefined
  /** Whether it may be sent again after it may have run. */
  readonly isRepeatable: boolean
  /** Tokens, or requests, that the team is charged. */
  readonly charge: number
  readonly configurationVersion: number
}
