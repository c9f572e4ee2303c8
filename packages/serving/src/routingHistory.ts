/**
 * The routings that were in force lately. A stream that is taken up may have
 * begun under an earlier one: at another service, or with a longer lifetime. A
 * change of other paths says nothing about it.
 */

import { RouteTable } from './routeTable.js'
import { streamLifetimeMilliseconds } from './streamLifetime.js'
import { longestSince } from './versionHoldDown.js'
import type { Clock } from '@cuminvale/common'
import type { Route, ServiceName, WeightedService } from './types.js'
import type { ClockReading } from './versionHoldDown.js'

/** What a stream is routed by, and the service that it goes to now. */
export interface RoutedStream {
  readonly host: string
  readonly path: string
  readonly service: ServiceName
}

/** A route as far as it decides where streams begin, and how long they last. */
export type StreamRoute = Pick<Route, 'host' | 'pathPrefix' | 'timeoutMilliseconds'> & { readonly targets: ReadonlyArray<{ readonly service: ServiceName }> }

export interface FormerRouting {
  readonly table: RouteTable<StreamRoute>
  readonly until: number
  /** When the records did not hold the next one yet, so that no VM can have adopted it; undefined if that isn't known. */
  readonly lastCurrent?: ClockReading
}

export interface UsedServiceOptions {
  readonly clock: Clock
  /** Time since which streams may have begun that go on now. */
  readonly since: number
  /** Time since which all VMs that may be running hold new targets down. */
  readonly isHeldSince: number
}

/** A former routing by the routes that differ from the current one, and how many milliseconds ago it ended. */
export interface HandedRouting {
  readonly age: number
  readonly routes: readonly StreamRoute[]
}

/** Beyond these the oldest are forgotten, and nothing is known of streams that began under them. */
const maximumFormerRoutings = 32

export class RoutingHistory {
  private current: RouteTable | undefined
  private former: readonly FormerRouting[] = []
  /** Those that another VM handed over. */
  private adopted: readonly FormerRouting[] = []
  private forgottenUntil = -Infinity
  /** Routes of former tables that differ from the current one. */
  private readonly differences = new Map<RouteTable<StreamRoute>, readonly StreamRoute[]>()

  /** The lag is the time by which other VMs may adopt a routing later. */
  constructor (private readonly lagMilliseconds: number, private readonly memoryMilliseconds: number) {}

  sync (table: RouteTable | undefined, now: number, lastCurrent?: ClockReading): void {
    if (table === this.current) return
    if (this.current !== undefined) this.remember({ table: this.current, until: now, ...lastCurrent === undefined ? {} : { lastCurrent } })
    this.current = table
    this.differences.clear()
  }

  /** Records a routing that was in force for a time before now, in which this VM's records were old. */
  recordPassed (table: RouteTable, now: number): void {
    this.remember({ table, until: now })
  }

  /** Time since which no routing is forgotten. */
  get knownSince (): number {
    return this.forgottenUntil
  }

  /** The former routings under which streams may have begun that go on now, for a VM that has the same current one. */
  handOver (now: number): readonly HandedRouting[] {
    return this.allFormer.flatMap(({ table, until }) => {
      const routes = this.differencesOf(table).filter((route) => this.isRelevant(route, until, now))
      return routes.length === 0 ? [] : [{ age: now - until, routes }]
    })
  }

  /** Takes over the former routings of another VM, in place of those that were taken over before. */
  adopt (routings: readonly HandedRouting[], now: number): void {
    this.adopted = routings.map(({ age, routes }) => ({ table: new RouteTable(routes), until: now - age }))
  }

  /**
   * Longest lifetime of the streams on that path that may go on now, if it is
   * the given one for those that begin now; undefined if one of them may have
   * begun at another service.
   */
  longestLifetime ({ host, path, service }: RoutedStream, lifetimeMilliseconds: number, now: number): number | undefined {
    let longest = lifetimeMilliseconds
    for (const { table, until } of this.allFormer) {
      const route = table.find(host, path)
      if (route === undefined || !this.isRelevant(route, until, now)) continue
      if (route.targets.some((target) => target.service !== service)) return undefined
      longest = Math.max(longest, streamLifetimeMilliseconds(route))
    }
    return now - this.forgottenUntil < longest + this.lagMilliseconds ? undefined : longest
  }

  /**
   * The targets of a route at which streams may begin now. One that was added a
   * moment ago is held down while an earlier one is there, so that VMs that have
   * not learned of it know where streams began of which nobody was told.
   */
  establishedTargets ({ host, path }: Omit<RoutedStream, 'service'>, targets: readonly WeightedService[], now: number): readonly WeightedService[] {
    let established = targets.filter(({ weight }) => weight > 0)
    for (const { table, until } of this.former) {
      if (now - until >= this.lagMilliseconds) continue
      const route = table.find(host, path)
      if (route !== undefined) established = established.filter(({ service }) => route.targets.some((target) => target.service === service))
    }
    return established.length === 0 ? targets : established
  }

  /** The only one of several targets that a VM may have used yet; undefined unless that is certain. */
  soleUsedService ({ host, path }: Omit<RoutedStream, 'service'>, targets: readonly ServiceName[], { clock, since, isHeldSince }: UsedServiceOptions): ServiceName | undefined {
    const formerTargets = this.allFormer.filter(({ until }) => until >= since).flatMap(({ table }) => table.find(host, path)?.targets ?? [])
    const [sole, ...others] = new Set(formerTargets.map(({ service }) => service))
    if (sole === undefined || others.length > 0 || !targets.includes(sole)) return undefined
    const isHeld = (service: ServiceName): boolean => this.former.some(({ table, lastCurrent }) => {
      if (lastCurrent === undefined || longestSince(clock, lastCurrent) >= this.lagMilliseconds || isHeldSince > lastCurrent.monotonic - this.lagMilliseconds) return false
      const route = table.find(host, path)
      return route?.targets.every((target) => target.service !== service) === true
    })
    return targets.every((service) => service === sole || isHeld(service)) ? sole : undefined
  }

  private get allFormer (): readonly FormerRouting[] {
    return this.adopted.length === 0 ? this.former : [...this.adopted, ...this.former]
  }

  /** Whether streams that began on the route may go on. */
  private isRelevant (route: StreamRoute, until: number, now: number): boolean {
    return now - until <= streamLifetimeMilliseconds(route) + this.lagMilliseconds
  }

  private differencesOf (former: RouteTable<StreamRoute>): readonly StreamRoute[] {
    const known = this.differences.get(former)
    if (known !== undefined) return known
    const routes = this.current === undefined ? former.routes : findDifferences(former, this.current)
    this.differences.set(former, routes)
    return routes
  }

  private remember (routing: FormerRouting): void {
    const kept = [...this.former, routing].filter(({ until }) => routing.until - until <= this.memoryMilliseconds)
    this.former = kept.slice(-maximumFormerRoutings)
    if (kept.length > maximumFormerRoutings) this.forgottenUntil = kept.at(-maximumFormerRoutings - 1)?.until ?? this.forgottenUntil
  }
}

const isSameForStreams = (first: StreamRoute, second: StreamRoute): boolean => {
  const [services, others] = [first, second].map(({ targets }) => new Set(targets.map(({ service }) => service)))
  return first.timeoutMilliseconds === second.timeoutMilliseconds && services !== undefined && others?.size === services.size && [...services].every((service) => others.has(service))
}

/**
 * The routes of a former table that served other paths, services or times than
 * the current one does. A path that has a route of its own now was served by
 * that of a shorter prefix. What the result finds for other paths differs from
 * the former table only in that it may be the route of a shorter prefix.
 */
const findDifferences = (former: RouteTable<StreamRoute>, current: RouteTable<StreamRoute>): readonly StreamRoute[] => {
  const changed = former.routes.filter((route) => {
    const now = current.findExact(route)
    return now === undefined || !isSameForStreams(route, now)
  })
  const replaced = current.routes.flatMap((route) => former.findExact(route) === undefined ? former.find(route.host.toLowerCase(), route.pathPrefix) ?? [] : [])
  return [...new Set([...changed, ...replaced])]
}
