/**
 * Baseline entry choice: reachable live VMs in random order, those of the
 * caller's region first.
 */

import { VmState } from '@cuminvale/common'
import type { Random } from '@cuminvale/common'
import type { EntryAnswer, EntryCandidate, EntryChooser, EntryRequest } from './types.js'

const holdMilliseconds = 10_000

export class UniformEntryChooser implements EntryChooser {
  constructor (private readonly random: Random) {}

  choose (request: EntryRequest, candidates: readonly EntryCandidate[]): EntryAnswer {
    const ranked = candidates
      .filter((candidate) => candidate.reachable && candidate.vm.state === VmState.Live)
      .map((candidate) => ({ candidate, rank: this.rank(request, candidate) }))
      .sort((first, second) => first.rank - second.rank)
      .slice(0, request.count)
    return { vms: ranked.map(({ candidate }) => candidate.vm.name), holdMilliseconds }
  }

  private rank (request: EntryRequest, candidate: EntryCandidate): number {
    const isCallerRegion = candidate.vm.region === request.callerRegion
    return (isCallerRegion ? 0 : 1) + this.random.next()
  }
}
