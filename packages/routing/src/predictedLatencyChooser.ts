/**
 * Chooses the upstream with the lowest predicted time to the first token. The
 * prediction adds pending prefill, the uncached part of the prompt, the size of
 * the batch, the loading of a model, and distance. One of the best few is picked
 * at random, so that VMs with the same load report do not all pick the same one.
 * A returning upstream opens its slots gradually while its cache is cold.
 */

import type { Clock, FailureDomainId, Random, UpstreamId } from '@cuminvale/common'
import { eligibleUpstreams } from './eligibleUpstreams.js'
import { permittedRegions } from './spilloverPolicy.js'
import { RoutingChoiceKind } from './types.js'
import type { SpilloverPolicy } from './spilloverPolicy.js'
import type { PrefixCacheIndex } from './prefixCacheIndex.js'
import type { RoutingChoice, RoutingRequest, RoutingSituation, UpstreamChooser, UpstreamView } from './types.js'

export interface PredictedLatencyChooserOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: FailureDomainId
  readonly spillover: SpilloverPolicy
  readonly prefixCacheIndex?: PrefixCacheIndex
  /** Number of VMs that send to the same upstreams, including this one. */
  readonly vmCount: () => number
}

interface Candidate {
  readonly view: UpstreamView
  readonly milliseconds: number
}

export const prefillMillisecondsPerToken = 0.1
/** Extra time to the first token on an upstream whose slots are all in use, compared with an idle one. */
const fullBatchDelayMilliseconds = 60
/** Share of the VMs that is assumed to send an equal prefill to the same upstream at the same time. */
const concurrentSenderShare = 0.3
const maximumPrefillMilliseconds = 2_000
const modelLoadMilliseconds = 5_000
const otherFailureDomainMilliseconds = 2
const slowStartMilliseconds = 10_000
const initialSlotShare = 0.25
const maximumCandidates = 3
/** Candidates that exceed the best one by at most this share and time count as equal to it. */
const toleranceMilliseconds = 4
const toleranceShare = 0.1

export class PredictedLatencyChooser implements UpstreamChooser {
  /** Monotonic time until which each upstream is expected to prefill the prompts sent to it. */
  private readonly prefillingUntil = new Map<UpstreamId, number>()

  constructor (private readonly options: PredictedLatencyChooserOptions) {}

  choose (request: RoutingRequest, situation: RoutingSituation): RoutingChoice {
    const eligible = eligibleUpstreams(request, situation.region, situation.upstreams)
    const best = this.fastestCandidates(request, eligible)
    const [first, second] = best
    const forward = this.options.spillover.decide(request, situation, {
      isServed: eligible.length > 0, hasFreeSlot: first !== undefined, milliseconds: first?.milliseconds ?? 0
    })
    if (forward !== undefined) return forward
    if (first === undefined) return choiceWithoutFreeSlot(eligible.length > 0, permittedRegions(request, situation).length > 0)
    const chosen = this.pickNearBest(best) ?? first
    const runnerUp = chosen === first ? second : first
    return {
      kind: RoutingChoiceKind.Run,
      upstream: chosen.view.upstream.name,
      ...(runnerUp === undefined ? {} : { runnerUp: runnerUp.view.upstream.name }),
      reason: `first token expected in ${chosen.milliseconds.toFixed(1)} ms, ${chosen.view.occupancy} of ${chosen.view.upstream.slots} slots in use`
    }
  }

  sent (request: RoutingRequest, upstream: UpstreamId): void {
    const { clock, vmCount, prefixCacheIndex: prefixes } = this.options
    const now = clock.monotonic()
    const prefill = this.prefillMilliseconds(request, upstream) * Math.max(1, vmCount() * concurrentSenderShare)
    const until = Math.max(now, this.prefillingUntil.get(upstream) ?? now) + prefill
    this.prefillingUntil.set(upstream, Math.min(until, now + maximumPrefillMilliseconds))
    if (request.prompt !== '') prefixes?.sent(upstream, request.prompt)
  }

  private prefillMilliseconds (request: RoutingRequest, upstream: UpstreamId): number {
    const cached = request.prompt === '' ? 0 : this.options.prefixCacheIndex?.cachedTokens(upstream, request.prompt) ?? 0
    return Math.max(0, request.promptTokens - cached) * prefillMillisecondsPerToken
  }

  /** The few candidates with a free slot and the lowest predicted time, best first. */
  private fastestCandidates (request: RoutingRequest, eligible: readonly UpstreamView[]): readonly Candidate[] {
    const best: Candidate[] = []
    for (const view of eligible) {
      if (view.occupancy >= this.openSlots(view)) continue
      const milliseconds = this.predictedMilliseconds(request, view)
      const worst = best.at(-1)
      if (best.length === maximumCandidates && worst !== undefined && milliseconds >= worst.milliseconds) continue
      const position = best.findIndex((candidate) => milliseconds < candidate.milliseconds)
      best.splice(position < 0 ? best.length : position, 0, { view, milliseconds })
      if (best.length > maximumCandidates) best.pop()
    }
    return best
  }

  private predictedMilliseconds (request: RoutingRequest, view: UpstreamView): number {
    const { clock, failureDomain } = this.options
    const { name } = view.upstream
    const pendingPrefill = Math.max(0, (this.prefillingUntil.get(name) ?? 0) - clock.monotonic())
    const batch = fullBatchDelayMilliseconds * view.occupancy / this.openSlots(view)
    const distance = view.upstream.failureDomain === failureDomain ? 0 : otherFailureDomainMilliseconds
    return pendingPrefill + this.prefillMilliseconds(request, name) + batch + distance + this.predictedModelLoadMilliseconds(request, view)
  }

  private predictedModelLoadMilliseconds (request: RoutingRequest, view: UpstreamView): number {
    if (request.model === undefined || view.loaded === undefined) return 0
    return view.loaded.includes(request.model) ? 0 : modelLoadMilliseconds
  }

  /** Slots that may be used; their number grows while the upstream warms up. */
  private openSlots (view: UpstreamView): number {
    const { slots } = view.upstream
    if (view.warmingSince === undefined) return slots
    const progress = (this.options.clock.monotonic() - view.warmingSince) / slowStartMilliseconds
    if (progress >= 1) return slots
    return Math.max(1, slots * (initialSlotShare + (1 - initialSlotShare) * progress))
  }

  private pickNearBest (best: readonly Candidate[]): Candidate | undefined {
    const limit = (best[0]?.milliseconds ?? 0) * (1 + toleranceShare) + toleranceMilliseconds
    const nearBest = best.filter(({ milliseconds }) => milliseconds <= limit)
    return nearBest[Math.floor(this.options.random.next() * nearBest.length)]
  }
}

const choiceWithoutFreeSlot = (isServed: boolean, mayForward: boolean): RoutingChoice => {
  if (isServed) return { kind: RoutingChoiceKind.Wait, reason: 'every local upstream is full' }
  if (mayForward) return { kind: RoutingChoiceKind.Wait, reason: 'no permitted region is known to have room' }
  return { kind: RoutingChoiceKind.None, reason: 'no upstream in a permitted region' }
}
