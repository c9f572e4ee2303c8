/**
 * Finds the route of a request: among the routes of its host, the one with the
 * longest prefix of its path.
 */

import type { Route } from './types.js'

/** What a route needs to be found by. */
export type RoutePaths = Pick<Route, 'host' | 'pathPrefix'>

export class RouteTable<Entry extends RoutePaths = Route> {
  private readonly prefixesByHost = new Map<string, Map<string, Entry>>()

  constructor (readonly routes: readonly Entry[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase()
      const prefixes = this.prefixesByHost.get(host) ?? new Map<string, Entry>()
      prefixes.set(route.pathPrefix, route)
      this.prefixesByHost.set(host, prefixes)
    }
  }

  /** The route of just this host and prefix. */
  findExact ({ host, pathPrefix }: RoutePaths): Entry | undefined {
    return this.prefixesByHost.get(host.toLowerCase())?.get(pathPrefix)
  }

  find (host: string, pathAndQuery: string): Entry | undefined {
    const prefixes = this.prefixesByHost.get(host)
    if (prefixes === undefined) return undefined
    const queryAt = pathAndQuery.indexOf('?')
    const path = queryAt < 0 ? pathAndQuery : pathAndQuery.slice(0, queryAt)
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
    }
    return undefined
  }
}
