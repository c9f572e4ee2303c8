/**
 * Baseline: the local upstream with the lowest share of occupied slots, or a
 * random permitted region if no local upstream serves the route.
 */

import { pickOne } from '@cuminvale/common'
import type { Random } from '@cuminvale/common'
import { eligibleUpstreams } from './eligibleUpstreams.js'
import { RoutingChoiceKind } from './types.js'
import type { RoutingChoice, RoutingRequest, RoutingSituation, UpstreamChooser, UpstreamView } from './types.js'

export class LeastInFlightChooser implements UpstreamChooser {
  constructor (private readonly random: Random) {}

  choose (request: RoutingRequest, situation: RoutingSituation): RoutingChoice {
    const eligible = eligibleUpstreams(request, situation.region, situation.upstreams)
    if (eligible.length === 0) return this.chooseRemote(request, situation)
    const [best, next] = this.rankByOccupancy(eligible)
    if (best === undefined || best.occupancy >= best.upstream.slots) {
      return { kind: RoutingChoiceKind.Wait, reason: 'every local upstream is full' }
    }
    return {
      kind: RoutingChoiceKind.Run,
      upstream: best.upstream.name,
      ...(next === undefined ? {} : { runnerUp: next.upstream.name }),
      reason: `least in flight: ${best.occupancy}`
    }
  }

  private rankByOccupancy (views: readonly UpstreamView[]): UpstreamView[] {
    return views
      .map((view) => ({ view, rank: view.occupancy / view.upstream.slots, tieBreaker: this.random.next() }))
      .sort((first, second) => first.rank - second.rank || first.tieBreaker - second.tieBreaker)
      .map(({ view }) => view)
  }

  private chooseRemote (request: RoutingRequest, situation: RoutingSituation): RoutingChoice {
    if (!request.mayCrossBorder) return { kind: RoutingChoiceKind.None, reason: 'no local upstream serves the route' }
    const permitted = situation.remoteRegions.filter((view) =>
      request.allowedRegions.includes(view.region) && view.vms.length > 0)
    const region = pickOne(permitted, this.random)
    const vm = region === undefined ? undefined : pickOne(region.vms, this.random)
    if (region === undefined || vm === undefined) {
      return { kind: RoutingChoiceKind.None, reason: 'no upstream in a permitted region' }
    }
    return { kind: RoutingChoiceKind.Forward, region: region.region, vm, reason: 'no local upstream' }
  }
}
