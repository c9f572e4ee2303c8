/**
 * Resolves the path of a caller's request to a route, and to the path that the upstream is called with.
 */

import { Result } from 'true-myth'
import { RefusalReason, isIdentifier, refuse, toRouteName } from '@cuminvale/common'
import { RouteKind } from '@cuminvale/documents'
import type { Refusal, RouteName } from '@cuminvale/common'
import type { Configuration, Plan, Route } from '@cuminvale/documents'

export interface RequestPath {
  readonly route: Route
  readonly upstreamPath: string
}

export const completionPaths: readonly string[] = ['/v1/chat/completions', '/v1/completions']
const servicePattern = /^\/v1\/services\/([^/?]+)(\/[^?]*)?$/

/** The path of a request target, without its query. */
export const pathOf = (url: string): string => {
  const queryStart = url.indexOf('?')
  return queryStart < 0 ? url : url.slice(0, queryStart)
}

const findRoute = (
  configuration: Configuration,
  name: RouteName,
  kind: RouteKind
): Result<Route, Refusal> => {
  const route = configuration.routes.get(name)
  if (route?.kind === kind) return Result.ok(route)
  return Result.err(refuse(RefusalReason.RouteUnknown, `there is no ${kind} route "${name}"`))
}

/** Whether the caller names no completion route, so that its plan chooses one. */
export const leavesRouteToPlan = (url: string, routeHeader: string | undefined): boolean =>
  routeHeader === undefined && completionPaths.includes(pathOf(url))

/** The completion route for callers that name none. */
export const firstCompletionRoute = (configuration: Configuration, plan: Plan): Result<Route, Refusal> => {
  const route = plan.routes
    .map((name) => configuration.routes.get(name))
    .find((candidate) => candidate?.kind === RouteKind.Completion)
  if (route !== undefined) return Result.ok(route)
  return Result.err(refuse(RefusalReason.NotInPlan, `the plan "${plan.name}" has no completion route`))
}

/** A header names the completion route, since OpenAI-style paths cannot carry it. */
export const resolvePath = (
  url: string,
  routeHeader: string | undefined,
  configuration: Configuration
): Result<RequestPath, Refusal> => {
  const path = pathOf(url)
  if (completionPaths.includes(path)) {
    if (routeHeader === undefined || !isIdentifier(routeHeader)) {
      return Result.err(refuse(RefusalReason.RouteUnknown, 'the route header holds no route name'))
    }
    return findRoute(configuration, toRouteName(routeHeader), RouteKind.Completion).map((route) => ({ route, upstreamPath: path }))
  }
  const service = servicePattern.exec(path)
  if (service?.[1] === undefined) return Result.err(refuse(RefusalReason.RouteUnknown, 'there is no such path'))
  const query = url.slice(path.length)
  const upstreamPath = (service[2] ?? '/') + query
  return findRoute(configuration, toRouteName(service[1]), RouteKind.Service).map((route) => ({ route, upstreamPath }))
}
