/**
 * Decides which reports list the VMs that they are about. A list is long and
 * changes rarely, so it is repeated for a bounded time after a change, in case a
 * report is lost with its link, and from time to time.
 */

import { memberListRepeatMilliseconds, ticksBetweenMemberLists } from './constants.js'
import type { Clock } from '@cuminvale/common'
import type { RegionMember } from '@cuminvale/serving'
import type { PackedMember } from './linkMessages.js'

export class MemberListSchedule {
  /** Comparable text of the VMs at the last report, whether or not that report listed them. */
  private lastSummary = ''
  private changedAt = -Infinity

  constructor (private readonly clock: Clock) {}

  /** The field of the next report: the packed list, or none if the last list still holds. */
  next (members: readonly RegionMember[], tickCount: number): { readonly members?: readonly PackedMember[] } {
    const now = this.clock.monotonic()
    const summary = members.map(({ identity, isReady }) => `${identity.vm} ${identity.incarnation} ${isReady ? 1 : 0}`).sort().join()
    if (summary !== this.lastSummary) this.changedAt = now
    this.lastSummary = summary
    const isDue = now - this.changedAt < memberListRepeatMilliseconds || tickCount % ticksBetweenMemberLists === 0
    return isDue ? { members: members.map(packMember) } : {}
  }
}

export const packMember = ({ identity, isReady }: RegionMember): PackedMember => [identity, isReady]

export const unpackMember = ([identity, isReady]: PackedMember): RegionMember => ({ identity, isReady })
