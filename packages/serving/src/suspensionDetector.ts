/**
 * Detects that this VM was suspended. Its steady clock stands still meanwhile, so
 * the steady clocks of other VMs get ahead of it. The time of day can't tell: it
 * may be set at any moment, and a VM that ran all the while must not take that
 * for a suspension.
 */

import type { Clock, IncarnationId, VmId } from '@cuminvale/common'

export interface PeerClockReading {
  readonly vm: VmId
  readonly incarnation: IncarnationId
  /** Milliseconds of the VM's steady clock when it sent the message. */
  readonly steadyMilliseconds: number
}

/** Lead of other clocks that shows a suspension; messages are delayed by less while links work. */
const minimumSuspensionMilliseconds = 1_000
/** VMs whose clocks must be ahead; one alone may have been misread. */
const requiredVmCount = 2
/** Time within which the VMs must be heard. */
const voteLifetimeMilliseconds = 2_000

export class SuspensionDetector {
  /** Largest lead of each VM's clock over this one, that of the message with the least delay. */
  private readonly leads = new Map<VmId, { readonly incarnation: IncarnationId, lead: number }>()
  /** Sum of the recent increases of a VM's lead. */
  private readonly gains = new Map<VmId, { readonly milliseconds: number, readonly since: number }>()
  /** VMs whose clocks got ahead by a suspension, with the time at which this was noticed. */
  private readonly votes = new Map<VmId, number>()

  constructor (private readonly clock: Clock) {}

  /** Records the clock of a VM; returns true if this VM was suspended since the VM's last message. */
  record ({ vm, incarnation, steadyMilliseconds }: PeerClockReading): boolean {
    const now = this.clock.monotonic()
    const lead = steadyMilliseconds - now
    const known = this.leads.get(vm)
    if (known?.incarnation !== incarnation) {
      this.leads.set(vm, { incarnation, lead })
      return false
    }
    const gain = lead - known.lead
    known.lead = Math.max(known.lead, lead)
    // After a suspension, the messages that waited come one by one, so each moves the lead a little.
    if (gain <= 0) return false
    return this.vote(vm, gain, now)
  }

  private vote (vm: VmId, gain: number, now: number): boolean {
    const recent = this.gains.get(vm)
    const isRecent = recent !== undefined && now - recent.since <= voteLifetimeMilliseconds
    const milliseconds = gain + (isRecent ? recent.milliseconds : 0)
    this.gains.set(vm, { milliseconds, since: isRecent ? recent.since : now })
    if (milliseconds < minimumSuspensionMilliseconds) return false
    this.votes.set(vm, now)
    if ([...this.votes.values()].filter((at) => now - at <= voteLifetimeMilliseconds).length < requiredVmCount) return false
    this.votes.clear()
    this.gains.clear()
    return true
  }
}
