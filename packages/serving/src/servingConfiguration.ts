/**
 * One version of the configuration, indexed for lookups per request.
 */

import { RefusalReason, groupBy, refuse } from '@cuminvale/common'
import { Result } from 'true-myth'
import { RouteTable } from './routeTable.js'
import { streamLifetimeMilliseconds } from './streamLifetime.js'
import { RequestKind } from './types.js'
import type { Random, Refusal, RegionId, RouteName } from '@cuminvale/common'
import type { AdmittedRequest, RequestHead, Route, ServedTeam, ServiceName, Service, ServingDocument, WeightedService } from './types.js'

export class ServingConfiguration {
  readonly version: number
  readonly routes: RouteTable
  /** Longest time that a stream which callers take up again may last. */
  readonly longestStreamMilliseconds: number
  private readonly teamsByKey = new Map<string, ServedTeam>()
  private readonly services = new Map<ServiceName, Service>()
  private readonly routePriorities = new Map<RouteName, number>()
  private readonly mostUrgentPriority = new Map<ServiceName, number>()

  constructor (readonly document: ServingDocument) {
    this.version = document.version
    this.routes = new RouteTable(document.routes)
    this.longestStreamMilliseconds = Math.max(0, ...document.routes.filter(({ isResumable }) => isResumable).map(streamLifetimeMilliseconds))
    for (const team of document.teams) {
      for (const key of team.keys) this.teamsByKey.set(key, team)
    }
    for (const { name, targets, priority } of document.routes) {
      this.routePriorities.set(name, priority)
      for (const { service } of targets) this.mostUrgentPriority.set(service, Math.min(this.mostUrgentPriority.get(service) ?? Infinity, priority))
    }
    for (const service of document.services) this.services.set(service.name, service)
  }

  service (name: ServiceName): Service | undefined {
    return this.services.get(name)
  }

  teamOf (key: string): ServedTeam | undefined {
    return this.teamsByKey.get(key)
  }

  /** Whether a request of a route yields; a forwarded one brings the rank of its request, which holds if the route isn't known here. */
  yieldsToMoreUrgent ({ name, priority }: Pick<Route, 'name' | 'priority'>, service: ServiceName): boolean {
    const routePriority = this.routePriorities.get(name) ?? priority
    return this.services.get(service)?.isEngine === true && routePriority > (this.mostUrgentPriority.get(service) ?? 0)
  }

  /** For each region, the number of routes of a host that are bound to it, alone or with others. */
  homesOf (host: string): ReadonlyMap<RegionId, number> {
    const regions = this.document.routes.filter((route) => route.host === host).flatMap(({ homes }) => homes)
    return new Map([...groupBy(regions, (region) => region)].map(([region, routes]) => [region, routes.length]))
  }

  /** Decides whether the configuration allows a request, and on which service of the targets at which it may begin, in which regions and at which charge. */
  admit (head: RequestHead, random: Random, targetsOf: (route: Route) => readonly WeightedService[] = ({ targets }) => targets): Result<AdmittedRequest, Refusal> {
    const route = this.routes.find(head.host, head.path)
    if (route === undefined) return Result.err(refuse(RefusalReason.RouteUnknown, `no route of host "${head.host}" matches the path`))
    const team = head.key === undefined ? undefined : this.teamsByKey.get(head.key)
    const needsKey = this.document.teams.length > 0 && !route.isPublic
    if (needsKey && head.key === undefined) return Result.err(refuse(RefusalReason.KeyMissing, 'the request carries no key'))
    if (needsKey && team === undefined) return Result.err(refuse(RefusalReason.KeyUnknown, 'the key is not in the configuration'))
    if (head.attempt === undefined) return Result.err(refuse(RefusalReason.RequestInvalid, 'the request carries no attempt id'))
    const chargedTeam = route.isPublic ? undefined : team
    const service = pickService(route, targetsOf(route), random)
    return Result.ok({
      head,
      attempt: head.attempt,
      route,
      service,
      team: chargedTeam,
      priority: chargedTeam?.priority ?? route.priority,
      yieldsToMoreUrgent: this.yieldsToMoreUrgent(route, service),
      regions: permittedRegions(route, chargedTeam),
      isRepeatable: route.kind === RequestKind.Safe || (route.kind === RequestKind.Stream && route.isResumable),
      charge: chargedTeam === undefined ? 0 : chargeOf(chargedTeam, head),
      configurationVersion: this.version
    })
  }
}

const chargeOf = (team: ServedTeam, head: RequestHead): number => {
  if (!team.countsTokens) return 1
  return head.tokens === undefined ? team.plainTokens : head.tokens.prompt + head.tokens.output
}

const pickService = (route: Route, targets: readonly WeightedService[], random: Random): ServiceName => {
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0)
  let remainingWeight = random.next() * totalWeight
  for (const { service, weight } of targets) {
    remainingWeight -= weight
    if (remainingWeight < 0) return service
  }
  const [first] = targets
  if (first === undefined) throw new RangeError(`route "${route.name}" has no service`)
  return first.service
}

/** If both the route and the team have home regions, only their common ones are permitted. */
const permittedRegions = (route: Route, team: ServedTeam | undefined): ReadonlySet<RegionId> | undefined => {
  const teamHomes = team?.homes ?? []
  if (route.homes.length === 0 && teamHomes.length === 0) return undefined
  if (route.homes.length === 0) return new Set(teamHomes)
  if (teamHomes.length === 0) return new Set(route.homes)
  return new Set(route.homes.filter((region) => teamHomes.includes(region)))
}
