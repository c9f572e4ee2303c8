/**
 * The published documents after validation. Operators edit `teams` and
 * `plans`; `keys`, `routes` and `upstreams` are published beside them.
 */

import type {
  FailureDomainId, KeyDigest, ModelName, PlanName, PriorityClass, RegionId, Revision, RouteName, TeamId, UpstreamId
} from '@cuminvale/common'

export interface Team {
  readonly name: TeamId
  readonly plan: PlanName
  /** Region in which the team's requests on home-bound routes must run. */
  readonly home?: RegionId
}

export interface Plan {
  readonly name: PlanName
  readonly routes: readonly RouteName[]
  readonly models: readonly ModelName[]
  readonly regions: readonly RegionId[]
  /** Sustained rate of the whole fleet, in tokens per second. */
  readonly rateTokensPerSecond: number
  /** Token bucket capacity of the whole fleet: the tokens that may be spent at once after an idle period. */
  readonly burstTokens: number
  /** Weight of each team on this plan in fair queueing, relative to other teams. */
  readonly weight: number
  /** Fraction of rate and burst assigned to each region; equal fractions if absent, 0 for a region not listed. */
  readonly regionShares?: Readonly<Record<string, number>>
}

export interface Key {
  readonly digest: KeyDigest
  readonly team: TeamId
}

export const RouteKind = {
  /** OpenAI-compatible completions, charged by tokens. */
  Completion: 'completion',
  /** A plain service; each request is charged a fixed number of tokens. */
  Service: 'service'
} as const

export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

export interface Route {
  readonly name: RouteName
  readonly kind: RouteKind
  /** Whether the same request may be sent to upstreams more than once. */
  readonly idempotent: boolean
  /** Open routes require no caller key; the caller's `authorization` header is passed on to the upstream. */
  readonly open: boolean
  readonly priority: PriorityClass
  /** Weight of one completed request in the usage report. */
  readonly usageWeight: number
  /** Tokens charged for one request on a service route. */
  readonly chargeTokens: number
  readonly deadlineMilliseconds: number
  readonly bodyLimitBytes: number
  /** Whether requests run only in the team's home region. */
  readonly homeBound: boolean
}

export interface Upstream {
  readonly name: UpstreamId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** Base URL, without a trailing slash. */
  readonly address: string
  readonly routes: readonly RouteName[]
  readonly models: readonly ModelName[]
  /** Number of requests that the upstream runs concurrently; it queues further ones. */
  readonly slots: number
  /** Whether the upstream refuses engine orders whose fencing number is lower than one that it has received. */
  readonly checksFencing: boolean
  /** A leaving upstream receives no new requests. */
  readonly leaving: boolean
}

export const DocumentName = {
  Teams: 'teams',
  Plans: 'plans',
  Keys: 'keys',
  Routes: 'routes',
  Upstreams: 'upstreams'
} as const

export type DocumentName = typeof DocumentName[keyof typeof DocumentName]

export const documentNames: readonly DocumentName[] = Object.values(DocumentName)

/** Raw text of each document as published. */
export type DocumentTexts = Readonly<Record<DocumentName, string>>

/** One accepted revision, indexed by name or key digest for lookups while requests are served. */
export interface Configuration {
  readonly revision: Revision
  readonly teams: ReadonlyMap<TeamId, Team>
  readonly plans: ReadonlyMap<PlanName, Plan>
  readonly keys: ReadonlyMap<KeyDigest, Key>
  readonly routes: ReadonlyMap<RouteName, Route>
  readonly upstreams: ReadonlyMap<UpstreamId, Upstream>
}
