/**
 * The two deployments at their current sizes, and the documents that describe them.
 */

import { toFailureDomainId, toModelName, toRegionId } from '@cuminvale/common'
import { digestCallerKey, generateCallerKey } from '@cuminvale/keys'
import type { FailureDomainId, ModelName, RegionId } from '@cuminvale/common'
import type { DocumentTexts } from '@cuminvale/documents'

export interface UpstreamSpecification {
  readonly name: string
  readonly kind: 'engine' | 'service'
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly routes: readonly string[]
  readonly slots: number
}

export interface VmSpecification {
  readonly name: string
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
}

/** Route names by the kind of request that the demo sends to them. */
export interface DemoRoutes {
  readonly streamed: string
  readonly counter: string
  readonly order: string
  readonly status: string
}

export interface Deployment {
  readonly name: string
  readonly vms: readonly VmSpecification[]
  readonly upstreams: readonly UpstreamSpecification[]
  readonly model: ModelName
  readonly teams: ReadonlyArray<{ readonly name: string, readonly plan: string, readonly home: string }>
  readonly routes: DemoRoutes
  /** Weights of the deployment's measures: the `[policy]` section of the daemon's settings. */
  readonly policy: Readonly<Record<string, number>>
}

const region = (name: string, index: number, domainPrefix: string) => ({
  region: toRegionId(name), failureDomain: toFailureDomainId(`${name}-${domainPrefix}${index}`)
})

const vmsOf = (prefix: string, regions: readonly [string, string, string]): readonly VmSpecification[] =>
  [0, 0, 0, 1, 1, 1, 2, 2].map((regionIndex, index) => ({
    name: `${prefix}-${index + 1}`, ...region(regions[regionIndex] ?? '', (index % 3) + 1, 'fd')
  }))

interface UpstreamGroupOptions {
  readonly name: string
  readonly kind: UpstreamSpecification['kind']
  readonly routes: readonly string[]
  readonly slots: number
  readonly placement: readonly number[]
  readonly regions: readonly [string, string, string]
}

const upstreamGroup = ({ placement, regions, name, ...rest }: UpstreamGroupOptions): readonly UpstreamSpecification[] =>
  placement.map((regionIndex, index) => ({
    ...rest, name: `${name}-${index + 1}`, ...region(regions[regionIndex] ?? '', (index % 2) + 1, 'fd')
  }))

const cooperativaRegions = ['lombardia', 'veneto', 'emilia'] as const
const talahibRegions = ['luzon', 'visayas', 'mindanao'] as const

export const cooperativa: Deployment = {
  name: 'cooperativa',
  vms: vmsOf('gateway', [...cooperativaRegions]),
  upstreams: [
    ...upstreamGroup({ name: 'drafting', kind: 'engine', routes: ['drafting', 'counter'], slots: 32, placement: [0, 0, 0, 0, 1, 1, 2, 2], regions: [...cooperativaRegions] }),
    ...upstreamGroup({ name: 'order-desk', kind: 'service', routes: ['orders', 'order-status'], slots: 16, placement: [0, 1, 2], regions: [...cooperativaRegions] })
  ],
  model: toModelName('catalogue-writer'),
  teams: [
    { name: 'legatori-grandi', plan: 'large', home: 'lombardia' },
    { name: 'agende-brianza', plan: 'large', home: 'lombardia' },
    { name: 'carta-veneta', plan: 'medium', home: 'veneto' },
    { name: 'rilegature-emilia', plan: 'medium', home: 'emilia' },
    { name: 'bottega-piccola', plan: 'small', home: 'veneto' }
  ],
  routes: { streamed: 'drafting', counter: 'counter', order: 'orders', status: 'order-status' },
  policy: { 'deadline-slack': 1, 'sending-away-gain': 1.2, 'region-link-megabits-per-second': 100 }
}

export const talahib: Deployment = {
  name: 'talahib',
  vms: vmsOf('gateway', [...talahibRegions]),
  upstreams: [
    ...upstreamGroup({ name: 'planning', kind: 'engine', routes: ['route-history', 'schedule'], slots: 32, placement: [0, 0, 0, 1, 1, 2], regions: [...talahibRegions] }),
    ...upstreamGroup({ name: 'dispatch', kind: 'service', routes: ['dispatch', 'dispatch-status'], slots: 16, placement: [0, 1, 2], regions: [...talahibRegions] })
  ],
  model: toModelName('verge-planner'),
  teams: [
    { name: 'luzon-roads', plan: 'large', home: 'luzon' },
    { name: 'visayas-roads', plan: 'large', home: 'visayas' },
    { name: 'mindanao-roads', plan: 'medium', home: 'mindanao' },
    { name: 'mower-guild', plan: 'medium', home: 'luzon' },
    { name: 'verge-contractors', plan: 'small', home: 'visayas' }
  ],
  routes: { streamed: 'route-history', counter: 'schedule', order: 'dispatch', status: 'dispatch-status' },
  policy: { 'deadline-slack': 2, 'sending-away-gain': 2, 'region-link-megabits-per-second': 1_400 }
}

export const deployments: readonly Deployment[] = [cooperativa, talahib]

const planSizes = [
  { name: 'large', rateTokensPerSecond: 40_000, burstTokens: 80_000, weight: 4 },
  { name: 'medium', rateTokensPerSecond: 10_000, burstTokens: 20_000, weight: 2 },
  { name: 'small', rateTokensPerSecond: 5_000, burstTokens: 10_000, weight: 1 }
]

const bodyLimitBytes = 262_144

const routeList = (routes: DemoRoutes) => [
  { name: routes.streamed, kind: 'completion', idempotent: true, priority: 'batch', deadlineMilliseconds: 30_000, bodyLimitBytes },
  { name: routes.counter, kind: 'completion', idempotent: true, priority: 'interactive', deadlineMilliseconds: 10_000, bodyLimitBytes },
  { name: routes.order, kind: 'service', idempotent: false, priority: 'interactive', usageWeight: 5, chargeTokens: 50, deadlineMilliseconds: 10_000, bodyLimitBytes },
  { name: routes.status, kind: 'service', idempotent: true, priority: 'interactive', chargeTokens: 10, deadlineMilliseconds: 5_000, bodyLimitBytes }
]

export interface TeamKey {
  readonly team: string
  readonly key: string
}

export const newTeamKeys = (deployment: Deployment): readonly TeamKey[] =>
  deployment.teams.map(({ name }) => ({ team: name, key: generateCallerKey() }))

export const keysDocument = (keys: readonly TeamKey[]): string =>
  JSON.stringify({ keys: keys.map(({ team, key }) => ({ digest: digestCallerKey(key), team })) }, null, 2)

/** The documents to publish, with the upstreams' addresses. */
export const documentsFor = (
  deployment: Deployment,
  addresses: ReadonlyMap<string, string>,
  keys: readonly TeamKey[]
): DocumentTexts => {
  const regions = [...new Set(deployment.vms.map((vm) => vm.region))]
  const routes = Object.values(deployment.routes)
  return {
    teams: JSON.stringify({ teams: deployment.teams }, null, 2),
    plans: JSON.stringify({ plans: planSizes.map((plan) => ({ ...plan, routes, models: [deployment.model], regions })) }, null, 2),
    keys: keysDocument(keys),
    routes: JSON.stringify({ routes: routeList(deployment.routes) }, null, 2),
    upstreams: JSON.stringify({
      upstreams: deployment.upstreams.map((upstream) => ({
        name: upstream.name,
        region: upstream.region,
        failureDomain: upstream.failureDomain,
        address: addresses.get(upstream.name),
        routes: upstream.routes,
        models: upstream.kind === 'engine' ? [deployment.model] : [],
        slots: upstream.slots
      }))
    }, null, 2)
  }
}
