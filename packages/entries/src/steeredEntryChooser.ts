/**
 * Entry choice that assigns each team a few VMs of each region by rendezvous
 * hashing. This keeps the shares of the team's rate and its prompt prefixes on
 * few VMs, and a team that overloads its VMs leaves the rest to other teams.
 * Teams with a higher rate are assigned more VMs.
 */

import { VmState, rendezvousScore } from '@cuminvale/common'
import type { Random, RegionId, VmId } from '@cuminvale/common'
import type { EntryAnswer, EntryCandidate, EntryChooser, EntryRequest } from './types.js'

export interface SteeredEntryChooserOptions {
  readonly random: Random
  /** Weight of short waits: a higher one assigns more VMs per team and ranks loaded VMs lower. */
  readonly tailLatencyWeight: number
  /** Weight of avoiding wrongful refusals: a higher one assigns fewer VMs per team. */
  readonly wrongfulRefusalsWeight: number
  /** Part of a team's rate, in tokens per second, that one VM serves beside other teams. */
  readonly tokensPerVm: number
}

const fewestVmsPerRegion = 2
const otherRegionPenalty = 10
const notSteeredPenalty = 4
const overloadPenalty = 5
/** Load above which a VM counts as overloaded. */
const overloadThreshold = 0.9
/** Random part of a rank, which distributes callers over VMs of similar load. */
const rankJitter = 0.5
const longestHoldMilliseconds = 15_000
const shortestHoldMilliseconds = 3_000
const holdJitter = 0.3

export class SteeredEntryChooser implements EntryChooser {
  constructor (private readonly options: SteeredEntryChooserOptions) {}

  choose (request: EntryRequest, candidates: readonly EntryCandidate[]): EntryAnswer {
    const usable = candidates.filter(({ vm, reachable }) => reachable && vm.state === VmState.Live &&
      (request.allowedRegions.length === 0 || request.allowedRegions.includes(vm.region)))
    const steered = this.steeredVms(request, usable)
    const ranked = usable
      .map((candidate) => ({ candidate, rank: this.rank(request, candidate, steered) }))
      .sort((first, second) => first.rank - second.rank)
      .slice(0, request.count)
      .map(({ candidate }) => candidate)
    return { vms: ranked.map(({ vm }) => vm.name), holdMilliseconds: this.holdFor(ranked[0]) }
  }

  /** The VMs assigned to the team in each region. The loss of one adds the next by score and changes no other. */
  private steeredVms (request: EntryRequest, usable: readonly EntryCandidate[]): ReadonlySet<VmId> {
    const regions = new Set(usable.map(({ vm }) => vm.region))
    const count = this.vmsPerRegion(request, regions.size)
    return new Set([...regions].flatMap((region) => vmsByScore(request, usable, region).slice(0, count)))
  }

  private vmsPerRegion ({ rateTokensPerSecond }: EntryRequest, regions: number): number {
    const { tailLatencyWeight, wrongfulRefusalsWeight, tokensPerVm } = this.options
    const ratio = tailLatencyWeight / wrongfulRefusalsWeight
    return Math.max(fewestVmsPerRegion, Math.ceil(rateTokensPerSecond / Math.max(1, regions) / tokensPerVm * ratio))
  }

  private rank (request: EntryRequest, { vm, load }: EntryCandidate, steered: ReadonlySet<VmId>): number {
    const isCallerRegion = vm.region === request.callerRegion
    return (isCallerRegion ? 0 : otherRegionPenalty) +
      (steered.has(vm.name) ? 0 : notSteeredPenalty) +
      (load > overloadThreshold ? overloadPenalty : 0) +
      load * this.options.tailLatencyWeight +
      this.options.random.next() * rankJitter
  }

  /** Shorter while the best VM is loaded. Jittered, so that callers do not ask again at the same time. */
  private holdFor (best: EntryCandidate | undefined): number {
    const load = Math.min(1, best?.load ?? 1)
    const hold = longestHoldMilliseconds - (longestHoldMilliseconds - shortestHoldMilliseconds) * load
    return Math.round(hold * (1 - holdJitter * this.options.random.next()))
  }
}

const vmsByScore = (request: EntryRequest, usable: readonly EntryCandidate[], region: RegionId): readonly VmId[] =>
  usable
    .filter(({ vm }) => vm.region === region)
    .map(({ vm }) => ({ name: vm.name, score: rendezvousScore(request.team, vm.name) }))
    .sort((first, second) => second.score - first.score)
    .map(({ name }) => name)
