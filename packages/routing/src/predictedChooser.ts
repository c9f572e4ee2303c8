/**
 * Chooses the upstream with the lowest predicted time to the first token. The
 * prediction adds pending prefill, the uncached part of the prompt, the size of
 * the batch, the loading of a model, and distance. One of the best few is picked
 * at random, so that VMs with the same load report do not all pick the same one.
 * A returning upstream opens its slots gradually while its cache is cold.
 */

import type { Clock, FailureDomainId, Random, UpstreamId } from '@cuminvale/common'
import { eligibleUpstreams } from './candidates.js'
import { permittedRegions } from './awayPolicy.js'
import { RoutingChoiceKind } from './types.js'
import type { AwayPolicy } from './awayPolicy.js'
import type { PrefixKnowledge } from './prefixKnowledge.js'
import type { RoutingChoice, RoutingRequest, RoutingSituation, UpstreamChooser, UpstreamView } from './types.js'

export interface PredictedChooserOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: FailureDomainId
  readonly away: AwayPolicy
  readonly prefixes?: PrefixKnowledge
  /** Number of VMs that send to the same upstreams, including this one. */
  readonly vmCount: () => number
}

interface Candidate {
  readonly view: UpstreamView
  readonly milliseconds: number
}

export const prefillMillisecondsPerToken = 0.1
/** Extra time to the first token on an upstream whose slots are all in use, compared with an idle one. */
const fullBatchMilliseconds = 60
/** Share of the VMs that is assumed to send an equal prefill to the same upstream at the same time. */
const othersShare = 0.3
const maximumPrefillMilliseconds = 2_000
const modelLoadMilliseconds = 5_000
const otherDomainMilliseconds = 2
const slowStartMilliseconds = 10_000
const slowStartShare = 0.25
const maximumChoices = 3
/** Candidates that exceed the best one by at most this share and time count as equal to it. */
const toleranceMilliseconds = 4
const toleranceShare = 0.1

export class PredictedChooser implements UpstreamChooser {
  /** Monotonic time until which each upstream is expected to prefill the prompts sent to it. */
  private readonly prefillsUntil = new Map<UpstreamId, number>()

  constructor (private readonly options: PredictedChooserOptions) {}

  choose (request: RoutingRequest, situation: RoutingSituation): RoutingChoice {
    const eligible = eligibleUpstreams(request, situation.region, situation.upstreams)
    const best = this.bestOf(request, eligible)
    const [first, second] = best
    const away = this.options.away.decide(request, situation, {
      isServed: eligible.length > 0, hasRoom: first !== undefined, milliseconds: first?.milliseconds ?? 0
    })
    if (away !== undefined) return away
    if (first === undefined) return nothingFree(eligible.length > 0, permittedRegions(request, situation).length > 0)
    const chosen = this.pick(best) ?? first
    const runnerUp = chosen === first ? second : first
    return {
      kind: RoutingChoiceKind.Run,
      upstream: chosen.view.upstream.name,
      ...(runnerUp === undefined ? {} : { runnerUp: runnerUp.view.upstream.name }),
      reason: `first token expected in ${chosen.milliseconds.toFixed(1)} ms, ${chosen.view.occupancy} of ${chosen.view.upstream.slots} slots in use`
    }
  }

  sent (request: RoutingRequest, upstream: UpstreamId): void {
    const { clock, vmCount, prefixes } = this.options
    const now = clock.monotonic()
    const prefill = this.prefill(request, upstream) * Math.max(1, vmCount() * othersShare)
    const until = Math.max(now, this.prefillsUntil.get(upstream) ?? now) + prefill
    this.prefillsUntil.set(upstream, Math.min(until, now + maximumPrefillMilliseconds))
    if (request.prompt !== '') prefixes?.sent(upstream, request.prompt)
  }

  private prefill (request: RoutingRequest, upstream: UpstreamId): number {
    const cached = request.prompt === '' ? 0 : this.options.prefixes?.cachedTokens(upstream, request.prompt) ?? 0
    return Math.max(0, request.promptTokens - cached) * prefillMillisecondsPerToken
  }

  /** The few candidates with a free slot and the lowest predicted time, best first. */
  private bestOf (request: RoutingRequest, eligible: readonly UpstreamView[]): readonly Candidate[] {
    const best: Candidate[] = []
    for (const view of eligible) {
      if (view.occupancy >= this.slotsNow(view)) continue
      const milliseconds = this.predict(request, view)
      const worst = best.at(-1)
      if (best.length === maximumChoices && worst !== undefined && milliseconds >= worst.milliseconds) continue
      const position = best.findIndex((held) => milliseconds < held.milliseconds)
      best.splice(position < 0 ? best.length : position, 0, { view, milliseconds })
      if (best.length > maximumChoices) best.pop()
    }
    return best
  }

  private predict (request: RoutingRequest, view: UpstreamView): number {
    const { clock, failureDomain } = this.options
    const { name } = view.upstream
    const waiting = Math.max(0, (this.prefillsUntil.get(name) ?? 0) - clock.monotonic())
    const batch = fullBatchMilliseconds * view.occupancy / this.slotsNow(view)
    const distance = view.upstream.failureDomain === failureDomain ? 0 : otherDomainMilliseconds
    return waiting + this.prefill(request, name) + batch + distance + this.modelLoad(request, view)
  }

  private modelLoad (request: RoutingRequest, view: UpstreamView): number {
    if (request.model === undefined || view.loaded === undefined) return 0
    return view.loaded.includes(request.model) ? 0 : modelLoadMilliseconds
  }

  /** Slots that may be used; their number grows while the upstream warms up. */
  private slotsNow (view: UpstreamView): number {
    const { slots } = view.upstream
    if (view.warmingSince === undefined) return slots
    const progress = (this.options.clock.monotonic() - view.warmingSince) / slowStartMilliseconds
    if (progress >= 1) return slots
    return Math.max(1, slots * (slowStartShare + (1 - slowStartShare) * progress))
  }

  private pick (best: readonly Candidate[]): Candidate | undefined {
    const limit = (best[0]?.milliseconds ?? 0) * (1 + toleranceShare) + toleranceMilliseconds
    const equals = best.filter(({ milliseconds }) => milliseconds <= limit)
    return equals[Math.floor(this.options.random.next() * equals.length)]
  }
}

const nothingFree = (isServed: boolean, mayLeave: boolean): RoutingChoice => {
  if (isServed) return { kind: RoutingChoiceKind.Wait, reason: 'every local upstream is full' }
  if (mayLeave) return { kind: RoutingChoiceKind.Wait, reason: 'no permitted region is known to have room' }
  return { kind: RoutingChoiceKind.None, reason: 'no upstream in a permitted region' }
}
