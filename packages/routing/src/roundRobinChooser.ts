/**
 * Baseline: the local upstreams in turn, skipping those without a free slot.
 */

import { eligibleUpstreams } from './eligibleUpstreams.js'
import { RoutingChoiceKind } from './types.js'
import type { RoutingChoice, RoutingRequest, RoutingSituation, UpstreamChooser } from './types.js'

export class RoundRobinChooser implements UpstreamChooser {
  private lastIndex = 0

  choose (request: RoutingRequest, situation: RoutingSituation): RoutingChoice {
    const eligible = eligibleUpstreams(request, situation.region, situation.upstreams)
    for (let tried = 0; tried < eligible.length; tried += 1) {
      this.lastIndex += 1
      const view = eligible[this.lastIndex % eligible.length]
      if (view === undefined || view.occupancy >= view.upstream.slots) continue
      return { kind: RoutingChoiceKind.Run, upstream: view.upstream.name, reason: 'next in turn' }
    }
    return { kind: RoutingChoiceKind.Wait, reason: 'every local upstream is full' }
  }
}
