/**
 * Which report of another region to use: its speakers say the same of it, and
 * each report may arrive over several VMs. One speaker is followed as long as
 * it is heard.
 */

import type { Clock, IncarnationId, RegionId, VmId } from '@cuminvale/common'

export const ReportUse = { Stale: 'stale', Followed: 'followed', Spare: 'spare' } as const

export type ReportUse = typeof ReportUse[keyof typeof ReportUse]

export interface ReportOrigin {
  readonly region: RegionId
  readonly vm: VmId
  readonly incarnation: IncarnationId
  /** Grows with each report of one incarnation. */
  readonly sequence: number
}

/** Time after which another speaker is followed; reports are a fifth to a whole second apart. */
const followedSilentMilliseconds = 1_100

export class RegionReporters {
  private readonly sequences = new Map<VmId, { incarnation: IncarnationId, sequence: number }>()
  private readonly followed = new Map<RegionId, { vm: VmId, heardAt: number }>()

  constructor (private readonly clock: Clock) {}

  use ({ region, vm, incarnation, sequence }: ReportOrigin): ReportUse {
    const last = this.sequences.get(vm)
    if (last?.incarnation === incarnation && last.sequence >= sequence) return ReportUse.Stale
    this.sequences.set(vm, { incarnation, sequence })
    const now = this.clock.monotonic()
    const followed = this.followed.get(region)
    if (followed !== undefined && followed.vm !== vm && now - followed.heardAt <= followedSilentMilliseconds) return ReportUse.Spare
    this.followed.set(region, { vm, heardAt: now })
    return ReportUse.Followed
  }
}
