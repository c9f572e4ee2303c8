/**
 * The decision which VMs a caller is told to use.
 */

import type { ListedVm, RegionId, TeamId, VmId } from '@cuminvale/common'

export interface EntryCandidate {
  readonly vm: ListedVm
  readonly reachable: boolean
  /** Fraction of the VM's capacity in use, 0 when idle. */
  readonly load: number
}

export interface EntryRequest {
  readonly team: TeamId
  /** Region of the caller, where known. */
  readonly callerRegion: RegionId
  readonly allowedRegions: readonly RegionId[]
  readonly count: number
  /** The team's rate, fleet-wide. */
  readonly rateTokensPerSecond: number
}

export interface EntryAnswer {
  /** Best first. */
  readonly vms: readonly VmId[]
  /** Milliseconds for which the answer holds. */
  readonly holdMilliseconds: number
}

export interface EntryChooser {
  choose (request: EntryRequest, candidates: readonly EntryCandidate[]): EntryAnswer
}
