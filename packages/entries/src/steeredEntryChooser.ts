/**
 * Entry choice that steers each team to a few VMs of a region, by rendezvous
 * hashing: its shares of the rate and its prompt prefixes stay together, and a
 * team that floods them leaves other VMs to the others. Large teams get more.
 */

import { VmState, rendezvousScore } from '@cuminvale/common'
import type { Random, RegionId, VmId } from '@cuminvale/common'
import type { EntryAnswer, EntryCandidate, EntryChooser, EntryRequest } from './types.js'

export interface SteeredEntryOptions {
  readonly random: Random
  /** Weight of short waits: more VMs a team, and loaded ones are left earlier. */
  readonly tailLatencyWeight: number
  /** Weight of few wrongful refusals: fewer VMs a team. */
  readonly wrongfulRefusalsWeight: number
  /** Rate that one VM serves beside others. */
  readonly tokensPerVm: number
}

const fewestVms = 2
const otherRegionPenalty = 10
const notSteeredPenalty = 4
const overloadPenalty = 5
const overload = 0.9
/** Random part of a rank, so that callers spread over VMs of like load. */
const spread = 0.5
const longestHoldMilliseconds = 15_000
const shortestHoldMilliseconds = 3_000
const holdJitter = 0.3

export class SteeredEntryChooser implements EntryChooser {
  constructor (private readonly options: SteeredEntryOptions) {}

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

  /** The team's VMs in each region; the loss of one brings in the next and moves no other. */
  private steeredVms (request: EntryRequest, usable: readonly EntryCandidate[]): ReadonlySet<VmId> {
    const regions = new Set(usable.map(({ vm }) => vm.region))
    const count = this.vmsPerRegion(request, regions.size)
    return new Set([...regions].flatMap((region) => topOf(request, usable, region).slice(0, count)))
  }

  private vmsPerRegion ({ rateTokensPerSecond }: EntryRequest, regions: number): number {
    const { tailLatencyWeight, wrongfulRefusalsWeight, tokensPerVm } = this.options
    const ratio = tailLatencyWeight / wrongfulRefusalsWeight
    return Math.max(fewestVms, Math.ceil(rateTokensPerSecond / Math.max(1, regions) / tokensPerVm * ratio))
  }

  private rank (request: EntryRequest, { vm, load }: EntryCandidate, steered: ReadonlySet<VmId>): number {
    const isNear = vm.region === request.callerRegion
    return (isNear ? 0 : otherRegionPenalty) +
      (steered.has(vm.name) ? 0 : notSteeredPenalty) +
      (load > overload ? overloadPenalty : 0) +
      load * this.options.tailLatencyWeight +
      this.options.random.next() * spread
  }

  /** Short while the best VM is loaded; jittered, so that callers do not come back together. */
  private holdFor (best: EntryCandidate | undefined): number {
    const load = Math.min(1, best?.load ?? 1)
    const hold = longestHoldMilliseconds - (longestHoldMilliseconds - shortestHoldMilliseconds) * load
    return Math.round(hold * (1 - holdJitter * this.options.random.next()))
  }
}

const topOf = (request: EntryRequest, usable: readonly EntryCandidate[], region: RegionId): readonly VmId[] =>
  usable
    .filter(({ vm }) => vm.region === region)
    .map(({ vm }) => ({ name: vm.name, score: rendezvousScore(request.team, vm.name) }))
    .sort((first, second) => second.score - first.score)
    .map(({ name }) => name)
