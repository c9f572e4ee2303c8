/**
 * Types of the entry choice: which VMs a caller is told to send its requests to.
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
  /** Region of the caller, or that of the answering VM if it is unknown. */
  readonly callerRegion: RegionId
  readonly allowedRegions: readonly RegionId[]
  readonly count: number
  /** The team's rate over the whole fleet. */
  readonly rateTokensPerSecond: number
}

export interface EntryAnswer {
  /** Best first. */
  readonly vms: readonly VmId[]
  /** Time for which the caller may use the answer before it asks again. */
  readonly holdMilliseconds: number
}

export interface EntryChooser {
  choose (request: EntryRequest, candidates: readonly EntryCandidate[]): EntryAnswer
}
