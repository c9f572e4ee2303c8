/**
 * The published documents in checked form. Operators edit `teams` and
 * `plans`; `keys`, `routes` and `upstreams` are published beside them.
 */

import type {
  FailureDomainId, KeyDigest, ModelName, PlanName, PriorityClass, RegionId, Revision, RouteName, TeamId, UpstreamId
} from '@cuminvale/common'

export interface Team {
  readonly name: TeamId
  readonly plan: PlanName
  /** Region the team's home-bound requests must run in. */
  readonly home?: RegionId
}

export interface Plan {
  readonly name: PlanName
  readonly routes: readonly RouteName[]
  readonly models: readonly ModelName[]
  readonly regions: readonly RegionId[]
  /** Sustained tokens a second, fleet-wide. */
  readonly rateTokensPerSecond: number
  /** Tokens that may be spent at once after a quiet time, fleet-wide. */
  readonly burstTokens: number
  /** Share of a contended queue relative to other teams. */
  readonly weight: number
  /** Part of rate and burst held by each region; equal parts where absent. */
  readonly regionShares?: Readonly<Record<string, number>>
}

export interface Key {
  readonly digest: KeyDigest
  readonly team: TeamId
}

export const RouteKind = {
  /** OpenAI-style completions, counted in tokens. */
  Completion: 'completion',
  /** A plain service, counted by a fixed charge. */
  Service: 'service'
} as const

export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

export interface Route {
  readonly name: RouteName
  readonly kind: RouteKind
  /** Whether the same request may be sent to an upstream twice. */
  readonly idempotent: boolean
  /** Open routes need no key and pass the caller's key on. */
  readonly open: boolean
  readonly priority: PriorityClass
  /** Weight of one completed request in the usage report. */
  readonly usageWeight: number
  /** Charge of one request on a service route. */
  readonly chargeTokens: number
  readonly deadlineMilliseconds: number
  readonly bodyLimitBytes: number
  /** Requests run only in the team's home region. */
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
  /** Requests that the upstream runs at once before it queues. */
  readonly slots: number
  /** Whether the upstream refuses orders with an old fencing number. */
  readonly checksFencing: boolean
  /** No new work is sent to a leaving upstream. */
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

/** One accepted revision, indexed for the request path. */
export interface Configuration {
  readonly revision: Revision
  readonly teams: ReadonlyMap<TeamId, Team>
  readonly plans: ReadonlyMap<PlanName, Plan>
  readonly keys: ReadonlyMap<KeyDigest, Key>
  readonly routes: ReadonlyMap<RouteName, Route>
  readonly upstreams: ReadonlyMap<UpstreamId, Upstream>
}
