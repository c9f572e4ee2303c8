/**
 * Forwards a request to another region only if no local slot is free and the
 * predicted gain is well above the cost. The cost is the round trip, the
 * transfer of prompt and answer, and a prefill without a cached prefix.
 * The free slots in a digest are divided between the VMs that receive it.
 */

import type { Random } from '@cuminvale/common'
import { forwardTo, permittedRegions } from './spilloverPolicy.js'
import { prefillMillisecondsPerToken } from './predictedLatencyChooser.js'
import type { SpilloverPolicy, LocalCapacity } from './spilloverPolicy.js'
import type { LinkBudget } from './linkBudget.js'
import type { RemoteRegionView, RoutingChoice, RoutingRequest, RoutingSituation } from './types.js'

export interface SpilloverWhenFasterOptions {
  readonly random: Random
  readonly linkBudget: LinkBudget
  /** Forwards only if the predicted local time is at least this many times the predicted remote time. */
  readonly gainFactor: number
}

const bytesPerPromptToken = 6
/** Each answer token is sent as one event of about this size. */
const bytesPerAnswerToken = 120
const forwardOverheadBytes = 2_048
const marginMilliseconds = 50

export const estimatedForwardBytes = (request: RoutingRequest): number =>
  forwardOverheadBytes + request.promptTokens * bytesPerPromptToken + request.outputTokens * bytesPerAnswerToken

export class SpilloverWhenFaster implements SpilloverPolicy {
  constructor (private readonly options: SpilloverWhenFasterOptions) {}

  decide (request: RoutingRequest, situation: RoutingSituation, local: LocalCapacity): RoutingChoice | undefined {
    if (local.hasFreeSlot) return undefined
    const bytes = estimatedForwardBytes(request)
    const views = permittedRegions(request, situation)
      .filter(({ region, freeSlots }) => freeSlots > 0 && this.options.linkBudget.canSpend(region, bytes))
    const view = this.pickByFreeSlots(views)
    if (view === undefined) return undefined
    const prefillMilliseconds = request.promptTokens * prefillMillisecondsPerToken
    const remoteMilliseconds = this.transferMilliseconds(view, bytes) + prefillMilliseconds
    const localMilliseconds = local.isServed ? situation.localWaitMilliseconds + prefillMilliseconds : Infinity
    if (localMilliseconds < remoteMilliseconds * this.options.gainFactor + marginMilliseconds) return undefined
    const reason = `${Math.round(remoteMilliseconds)} ms in ${view.region} against ${Math.round(localMilliseconds)} ms here`
    return forwardTo(request, view, { random: this.options.random, reason })
  }

  /** Picks at random, weighted by free slots, so that VMs with the same digest spread their requests. */
  private pickByFreeSlots (views: readonly RemoteRegionView[]): RemoteRegionView | undefined {
    const total = views.reduce((sum, { freeSlots }) => sum + freeSlots, 0)
    let remaining = this.options.random.next() * total
    return views.find(({ freeSlots }) => {
      remaining -= freeSlots
      return remaining < 0
    }) ?? views[0]
  }

  private transferMilliseconds (view: RemoteRegionView, bytes: number): number {
    return 2 * view.latencyMilliseconds + bytes / this.options.linkBudget.bytesPerMillisecond
  }
}
