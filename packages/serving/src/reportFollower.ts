/**
 * Decides which reports about a group of VMs to use. Several VMs report the same
 * state of a group, and each report may arrive by several ways. One reporter is
 * followed for as long as it is heard.
 */

import type { Clock, IncarnationId, VmId } from '@cuminvale/common'

/** Stale: already received. Followed: from the followed reporter. Spare: from another reporter of the group. */
export const ReportUse = { Stale: 'stale', Followed: 'followed', Spare: 'spare' } as const

export type ReportUse = typeof ReportUse[keyof typeof ReportUse]

export interface ReportOrigin {
  /** The region or failure domain that is reported about. */
  readonly group: string
  readonly vm: VmId
  readonly incarnation: IncarnationId
  /** Increases with each report of one incarnation. */
  readonly sequence: number
}

export interface ReportFollowerOptions {
  readonly clock: Clock
  /** Whether the first VM is to be followed instead of the second, though both are heard. By default the one that was heard first is kept. */
  readonly isPreferred?: (first: VmId, second: VmId) => boolean
}

/** Silence after which another reporter is followed; reports are 0.2 to 1 s apart. */
const followedSilentMilliseconds = 1_100

export class ReportFollower {
  private readonly sequences = new Map<VmId, { incarnation: IncarnationId, sequence: number }>()
  private readonly followed = new Map<string, { vm: VmId, heardAt: number }>()

  constructor (private readonly options: ReportFollowerOptions) {}

  classify ({ group, vm, incarnation, sequence }: ReportOrigin): ReportUse {
    const last = this.sequences.get(vm)
    if (last?.incarnation === incarnation && last.sequence >= sequence) return ReportUse.Stale
    this.sequences.set(vm, { incarnation, sequence })
    const now = this.options.clock.monotonic()
    const followed = this.followed.get(group)
    if (followed !== undefined && followed.vm !== vm && now - followed.heardAt <= followedSilentMilliseconds && this.options.isPreferred?.(vm, followed.vm) !== true) return ReportUse.Spare
    this.followed.set(group, { vm, heardAt: now })
    return ReportUse.Followed
  }

  /** Whether a reporter of the group is heard. */
  isFollowing (group: string): boolean {
    const followed = this.followed.get(group)
    return followed !== undefined && this.options.clock.monotonic() - followed.heardAt <= followedSilentMilliseconds
  }
}
