/**
 * Spillover: forwarding a request to another region, which settings and
 * metrics call sending away. All policies share one hard filter: only
 * permitted regions, and at most one crossing of a region border.
 */

import { assertInvariant, pickOne } from '@cuminvale/common'
import type { Random } from '@cuminvale/common'
import { RoutingChoiceKind } from './types.js'
import type { RemoteRegionView, RoutingChoice, RoutingRequest, RoutingSituation } from './types.js'

/** Capacity of the local region for a request. */
export interface LocalCapacity {
  /** Whether a local upstream may run the request, with or without a free slot. */
  readonly isServed: boolean
  readonly hasFreeSlot: boolean
  /** Predicted time to the first token; 0 if no slot is free. */
  readonly milliseconds: number
}

export interface SpilloverPolicy {
  /** Returns a forward, or undefined if the request stays in this region. */
  decide (request: RoutingRequest, situation: RoutingSituation, local: LocalCapacity): RoutingChoice | undefined
}

/** Regions that the request may be forwarded to. */
export const permittedRegions = (request: RoutingRequest, situation: RoutingSituation): readonly RemoteRegionView[] => {
  if (!request.mayCrossBorder) return []
  return situation.remoteRegions.filter(({ region, vms }) =>
    region !== situation.region && vms.length > 0 && request.allowedRegions.includes(region))
}

export const forwardTo = (request: RoutingRequest, view: RemoteRegionView, { random, reason }: { random: Random, reason: string }): RoutingChoice | undefined => {
  const vm = pickOne(view.vms, random)
  if (vm === undefined) return undefined
  assertInvariant(request.mayCrossBorder && request.allowedRegions.includes(view.region), 'residency',
    () => `request of ${request.team} sent to ${view.region}`)
  return { kind: RoutingChoiceKind.Forward, region: view.region, vm, reason }
}

/** Baseline: forwards only requests that no local upstream serves, to a random permitted region. */
export class SpilloverWhenUnserved implements SpilloverPolicy {
  constructor (private readonly random: Random) {}

  decide (request: RoutingRequest, situation: RoutingSituation, local: LocalCapacity): RoutingChoice | undefined {
    if (local.isServed) return undefined
    const view = pickOne(permittedRegions(request, situation), this.random)
    return view === undefined ? undefined : forwardTo(request, view, { random: this.random, reason: 'no local upstream' })
  }
}

/** Baseline: forwards to a random permitted region if no local slot is free. */
export class SpilloverWhenFull implements SpilloverPolicy {
  constructor (private readonly random: Random) {}

  decide (request: RoutingRequest, situation: RoutingSituation, local: LocalCapacity): RoutingChoice | undefined {
    if (local.hasFreeSlot) return undefined
    const view = pickOne(permittedRegions(request, situation), this.random)
    return view === undefined ? undefined : forwardTo(request, view, { random: this.random, reason: 'local upstreams are full' })
  }
}
