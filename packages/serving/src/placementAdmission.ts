/**
 * Connects placement with admission control: describes a placed request to the
 * allocator, names the cause of a refusal, and takes times to retry from the
 * schedule of returns.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { ReturnSchedule } from './returnSchedule.js'
import { RefusalCause } from './roomAllocator.js'
import type { Clock, Random } from '@cuminvale/common'
import type { PlacementQuery } from './placement.js'
import type { Prediction } from './prediction.js'
import type { AdmissionQuery, RoomAllocator } from './roomAllocator.js'

export interface PlacementAdmissionOptions {
  readonly clock: Clock
  readonly random: Random
  readonly allocator: RoomAllocator | undefined
}

export interface LocalStart {
  readonly prediction: Prediction
  /** Whether the request would be started by its own wait and remaining time. */
  readonly shouldStart: boolean
  readonly isInTime: boolean
  /** Whether an upstream that it may use has a free slot and a short queue. */
  readonly hasIdleUpstream: () => boolean
}

/** Largest share of the remaining time that a caller is asked to wait, unless the minimum wait is longer. */
export const maximumRetryWaitShare = 0.33
export const minimumRetryAfterMilliseconds = 150
export const maximumRetryAfterMilliseconds = 2_000
/** Spread of the callers that are refused for a limit and find no place in its schedule. */
export const limitSpreadShare = 0.5
/** The same while capacity is short: each return that comes too soon is another refusal. */
const shortageSpreadShare = 0.25

/** When the next caller of a service may return. */
export interface ReturnPace {
  readonly intervalMilliseconds: number
  readonly freeInMilliseconds: number
  readonly spreadShare: number
}

export class PlacementAdmission {
  private readonly returns: ReturnSchedule

  constructor (private readonly options: PlacementAdmissionOptions) {
    this.returns = new ReturnSchedule(options)
  }

  /** Why a request is not started at the best upstream of this region; undefined if it is, which is recorded as its start. */
  refusalOf (query: PlacementQuery, { prediction, shouldStart, isInTime, hasIdleUpstream }: LocalStart): RefusalCause | undefined {
    const { allocator } = this.options
    const { request } = query
    const admissionQuery: AdmissionQuery = {
      service: request.service,
      rank: request.priority,
      team: request.team?.id,
      charge: request.charge,
      milliseconds: prediction.milliseconds,
      waitMilliseconds: prediction.waitMilliseconds,
      objectiveMilliseconds: request.route.objectiveMilliseconds,
      objectiveRemainingMilliseconds: query.objectiveRemainingMilliseconds,
      hasIdleUpstream
    }
    if (!shouldStart) {
      allocator?.recordRefused(admissionQuery)
      return isInTime ? RefusalCause.Wait : RefusalCause.Deadline
    }
    // Of a stream that goes on and of a request that is sent again after a failure, work has been done already, which a refusal would waste.
    const isNew = query.softwareVersion === undefined && query.excludedUpstreams.size === 0
    const cause = isNew ? allocator?.refusalOf(admissionQuery) : undefined
    if (cause === undefined) allocator?.recordStart(admissionQuery)
    return cause
  }

  /** Milliseconds after which a caller returns that was refused while capacity is short; undefined if the rate at which capacity becomes free is not known. */
  nextReturn (query: PlacementQuery): number | undefined {
    const { service, priority } = query.request
    const perSecond = this.options.allocator?.returnsPerSecond(service, priority)
    return perSecond === undefined ? undefined : this.takeReturn(query, { intervalMilliseconds: millisecondsPerSecond / perSecond, freeInMilliseconds: 0, spreadShare: shortageSpreadShare })
  }

  /** Takes the next place in the schedule of a service, as far as that is soon enough for the caller. */
  takeReturn ({ request: { service, priority }, remainingMilliseconds }: PlacementQuery, { intervalMilliseconds, freeInMilliseconds, spreadShare }: ReturnPace): number {
    return this.returns.take({
      resource: service,
      rank: priority,
      intervalMilliseconds,
      spreadShare,
      earliestMilliseconds: Math.max(minimumRetryAfterMilliseconds, freeInMilliseconds),
      latestMilliseconds: Math.min(maximumRetryAfterMilliseconds, Math.max(minimumRetryAfterMilliseconds, remainingMilliseconds * maximumRetryWaitShare))
    })
  }
}
