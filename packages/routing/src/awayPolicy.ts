/**
 * Whether a request is sent to another region. Permitted regions and the one
 * border crossing are a hard filter that every policy shares.
 */

import { assertInvariant, pickOne } from '@cuminvale/common'
import type { Random } from '@cuminvale/common'
import { RoutingChoiceKind } from './types.js'
import type { RemoteRegionView, RoutingChoice, RoutingRequest, RoutingSituation } from './types.js'

/** What the local region offers the request. */
export interface LocalOffer {
  readonly isServed: boolean
  readonly hasRoom: boolean
  /** Predicted time to the first token where there is room. */
  readonly milliseconds: number
}

export interface AwayPolicy {
  /** A forward, or undefined where the request stays. */
  decide (request: RoutingRequest, situation: RoutingSituation, local: LocalOffer): RoutingChoice | undefined
}

/** Regions that the request may be sent to. */
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

/** Baseline: only what no local upstream serves is sent away. */
export class NeverAway implements AwayPolicy {
  constructor (private readonly random: Random) {}

  decide (request: RoutingRequest, situation: RoutingSituation, local: LocalOffer): RoutingChoice | undefined {
    if (local.isServed) return undefined
    const view = pickOne(permittedRegions(request, situation), this.random)
    return view === undefined ? undefined : forwardTo(request, view, { random: this.random, reason: 'no local upstream' })
  }
}

/** Baseline: whatever finds no local slot is sent to any other region. */
export class AwayWhenFull implements AwayPolicy {
  constructor (private readonly random: Random) {}

  decide (request: RoutingRequest, situation: RoutingSituation, local: LocalOffer): RoutingChoice | undefined {
    if (local.hasRoom) return undefined
    const view = pickOne(permittedRegions(request, situation), this.random)
    return view === undefined ? undefined : forwardTo(request, view, { random: this.random, reason: 'local upstreams are full' })
  }
}
