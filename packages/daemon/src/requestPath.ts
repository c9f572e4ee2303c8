/**
 * Which route a caller's path means, and the path its upstream is called by.
 */

import { Result } from 'true-myth'
import { RefusalReason, isIdentifier, refuse, toRouteName } from '@cuminvale/common'
import { RouteKind } from '@cuminvale/documents'
import type { Refusal, RouteName } from '@cuminvale/common'
import type { Configuration, Route } from '@cuminvale/documents'

export interface RequestPath {
  readonly route: Route
  readonly upstreamPath: string
}

const completionPaths: readonly string[] = ['/v1/chat/completions', '/v1/completions']
const servicePattern = /^\/v1\/services\/([^/?]+)(\/[^?]*)?$/
const routeHeaderDefault = toRouteName('completions')

const findRoute = (
  configuration: Configuration,
  name: RouteName,
  kind: RouteKind
): Result<Route, Refusal> => {
  const route = configuration.routes.get(name)
  if (route?.kind === kind) return Result.ok(route)
  return Result.err(refuse(RefusalReason.RouteUnknown, `there is no ${kind} route "${name}"`))
}

/** The completion route is named by a header, since OpenAI-style paths have no place for it. */
export const resolvePath = (
  url: string,
  routeHeader: string | undefined,
  configuration: Configuration
): Result<RequestPath, Refusal> => {
  const queryStart = url.indexOf('?')
  const path = queryStart < 0 ? url : url.slice(0, queryStart)
  if (completionPaths.includes(path)) {
    const name = routeHeader !== undefined && isIdentifier(routeHeader) ? toRouteName(routeHeader) : routeHeaderDefault
    return findRoute(configuration, name, RouteKind.Completion).map((route) => ({ route, upstreamPath: path }))
  }
  const service = servicePattern.exec(path)
  if (service?.[1] === undefined) return Result.err(refuse(RefusalReason.RouteUnknown, 'there is no such path'))
  const query = queryStart < 0 ? '' : url.slice(queryStart)
  const upstreamPath = (service[2] ?? '/') + query
  return findRoute(configuration, toRouteName(service[1]), RouteKind.Service).map((route) => ({ route, upstreamPath }))
}
