/**
 * The routings that were in force lately. A stream that is taken up may have
 * begun under an earlier one: at another service, or with a longer lifetime. A
 * change of other paths says nothing about it.
 */

import { streamLifetimeMilliseconds } from './streamLifetime.js'
import type { RouteTable } from './routeTable.js'
import type { ServiceName } from './types.js'

/** What a stream is routed by, and the service that it goes to now. */
export interface RoutedStream {
  readonly host: string
  readonly path: string
  readonly service: ServiceName
}

interface FormerRouting {
  readonly table: RouteTable
  readonly until: number
}

/** Beyond these the oldest are forgotten, and nothing is known of streams that began under them. */
const maximumFormerRoutings = 32

export class RoutingHistory {
  private current: RouteTable | undefined
  private former: readonly FormerRouting[] = []
  private forgottenUntil = -Infinity

  /** The lag is the time by which other VMs may adopt a routing later. */
  constructor (private readonly lagMilliseconds: number, private readonly memoryMilliseconds: number) {}

  sync (table: RouteTable | undefined, now: number): void {
    if (table === this.current) return
    if (this.current !== undefined) this.remember({ table: this.current, until: now })
    this.current = table
  }

  /**
   * Longest lifetime of the streams on that path that may go on now, if it is
   * the given one for those that begin now; undefined if one of them may have
   * begun at another service.
   */
  longestLifetime ({ host, path, service }: RoutedStream, lifetimeMilliseconds: number, now: number): number | undefined {
    let longest = lifetimeMilliseconds
    for (const { table, until } of this.former) {
      const route = table.find(host, path)
      if (route === undefined || now - until > streamLifetimeMilliseconds(route) + this.lagMilliseconds) continue
      if (route.targets.some((target) => target.service !== service)) return undefined
      longest = Math.max(longest, streamLifetimeMilliseconds(route))
    }
    return now - this.forgottenUntil < longest + this.lagMilliseconds ? undefined : longest
  }

  private remember (routing: FormerRouting): void {
    const kept = [...this.former, routing].filter(({ until }) => routing.until - until <= this.memoryMilliseconds)
    this.former = kept.slice(-maximumFormerRoutings)
    if (kept.length > maximumFormerRoutings) this.forgottenUntil = kept.at(-maximumFormerRoutings - 1)?.until ?? this.forgottenUntil
  }
}
