/**
 * Finds the route of a request: among the routes of its host, the one with the
 * longest prefix of its path.
 */

import type { Route } from './types.js'

export class RouteTable {
  private readonly prefixesByHost = new Map<string, Map<string, Route>>()

  constructor (routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase()
      const prefixes = this.prefixesByHost.get(host) ?? new Map<string, Route>()
      prefixes.set(route.pathPrefix, route)
      this.prefixesByHost.set(host, prefixes)
    }
  }

  find (host: string, pathAndQuery: string): Route | undefined {
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
