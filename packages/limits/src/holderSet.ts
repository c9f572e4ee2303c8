/**
 * Tracks which VMs of a region may hold shares. A VM counts every VM that it
 * regards as a possible holder, itself included. Each holder takes the region's
 * share divided by its own count, so the shares never add up to more than the
 * region's share. A VM recognises another by a positive answer to its hello,
 * and then counts it for at least one lease.
 *
 * - A VM starts holding once every VM it counts has recognised it. In addition,
 *   one of those must hold a share, or all earlier holders must certainly have
 *   stopped. It also needs a VM list, a valid lease, and the end of the wait
 *   after its start.
 * - It holds under a lease, which is renewed by a VM list that names it, or by
 *   recognition from every VM it counts. Recognition keeps a region working
 *   that is cut off from the VM list. A VM that counts no other needs the list.
 * - It stops counting another VM only after the VM list has omitted that VM for
 *   the list's lag, and the lease of that VM has certainly expired.
 */

import type { IncarnationId, VmId } from '@cuminvale/common'
import type { LimitHello, LimitRecognition, OutboundMessage, PeerIdentity } from '@cuminvale/messages'
import { shareLeaseMilliseconds, helloIntervalMilliseconds, withClockMargin } from './constants.js'

interface CountedVm {
  /** Local time at which the last recognition by the counted VM expires. */
  recognisedUntil: number
  /** Whether the counted VM held a share when it last recognised this one. */
  holding: boolean
  /** Local time until which the counted VM must stay counted, because this VM recognised it. */
  countedAtLeastUntil: number
  /** Time since which the VM list has not named the counted VM. */
  unlistedSince: number | undefined
}

export interface HolderSetOptions {
  readonly self: PeerIdentity
  /** Bound on the age of the VM list's content. */
  readonly listLagMilliseconds: number
}

export class HolderSet {
  private readonly counted = new Map<VmId, CountedVm>()
  private listedVms: ReadonlySet<VmId> = new Set()
  private listLeaseEndsAt = -Infinity
  private lastListAskedAt = -Infinity
  private hasVmList = false
  private holding = false
  private joiningSince: number
  /** Answers to messages sent earlier are ignored, since the VM may have been suspended in between. */
  private earliestValidSentAt: number
  private lastHelloAt = -Infinity
  /** Earliest time at which this VM may hold; the leases of earlier incarnations, and their loans, have ended by then. */
  private readonly earliestHoldAt: number

  constructor (private readonly options: HolderSetOptions, now: number) {
    this.joiningSince = now
    this.earliestValidSentAt = now
    this.earliestHoldAt = now + withClockMargin(shareLeaseMilliseconds)
  }

  /** Number of VMs that may hold shares, this one included. */
  get count (): number {
    return this.counted.size + 1
  }

  get isHolding (): boolean {
    return this.holding
  }

  counts (vm: VmId): boolean {
    return this.counted.has(vm)
  }

  /** End of the current lease. If this VM counts no other, only the VM list gives it a lease. */
  get leaseEndsAt (): number {
    let recognisedUntil = this.counted.size > 0 ? Infinity : -Infinity
    for (const entry of this.counted.values()) recognisedUntil = Math.min(recognisedUntil, entry.recognisedUntil)
    return Math.max(this.listLeaseEndsAt, recognisedUntil)
  }

  /** Stops holding; the VM must be recognised again before it may hold. */
  stopHolding (now: number): void {
    this.holding = false
    this.joiningSince = now
    this.lastHelloAt = -Infinity
    for (const entry of this.counted.values()) entry.holding = false
  }

  /** Ends the lease and ignores all earlier answers, because the VM may have been suspended. */
  handleSuspension (now: number): void {
    this.earliestValidSentAt = now
    this.listLeaseEndsAt = -Infinity
    for (const entry of this.counted.values()) entry.recognisedUntil = -Infinity
    this.stopHolding(now)
  }

  /** Whether an answer is to this incarnation and its request was sent after the last suspension. */
  isCurrentAnswer (sentAt: number, to: IncarnationId): boolean {
    return to === this.options.self.incarnation && sentAt >= this.earliestValidSentAt
  }

  /** Applies the VM list's names in this region; `askedAt` is the time of the list request. */
  adoptList (listedVms: ReadonlySet<VmId>, askedAt: number): void {
    if (askedAt < this.earliestValidSentAt) return
    this.hasVmList = true
    this.listedVms = listedVms
    this.lastListAskedAt = askedAt
    if (listedVms.has(this.options.self.vm)) this.listLeaseEndsAt = Math.max(this.listLeaseEndsAt, askedAt + shareLeaseMilliseconds)
    for (const vm of listedVms) if (vm !== this.options.self.vm) this.countVm(vm, askedAt)
    for (const [vm, entry] of this.counted) {
      if (listedVms.has(vm)) entry.unlistedSince = undefined
      else entry.unlistedSince ??= askedAt
    }
  }

  /**
   * Answers a peer's hello. `fits` is whether this VM's loans leave room for the
   * peer's share; it is always true if the peer is not joining. If it is true, the
   * peer is counted, and recognised unless the VM list has omitted it beyond the lag.
   */
  answer (from: PeerIdentity, hello: LimitHello, now: number, fits: boolean): LimitRecognition {
    if (fits) this.countVm(from.vm, now)
    const entry = this.counted.get(from.vm)
    const recognised = fits && entry !== undefined && !this.isUnlistedBeyondLag(entry)
    if (recognised) entry.countedAtLeastUntil = now + withClockMargin(shareLeaseMilliseconds)
    return {
      kind: 'limits.recognition',
      to: from.incarnation,
      sentAt: hello.sentAt,
      recognised,
      holding: this.holding,
      counted: hello.joining ? [...this.counted.keys()] : []
    }
  }

  /** Handles a peer's answer to this VM's hello. */
  recognised (from: PeerIdentity, message: LimitRecognition, now: number): void {
    if (!this.isCurrentAnswer(message.sentAt, message.to)) return
    const entry = this.counted.get(from.vm)
    if (entry === undefined || message.sentAt < this.joiningSince) return
    for (const vm of message.counted) if (vm !== this.options.self.vm) this.countVm(vm, now)
    if (!message.recognised) return
    entry.recognisedUntil = Math.max(entry.recognisedUntil, message.sentAt + shareLeaseMilliseconds)
    entry.holding = message.holding
  }

  tick (now: number): readonly OutboundMessage[] {
    this.dropStoppedVms(now)
    if (!this.holding) this.holding = this.mayHold(now)
    if (now - this.lastHelloAt < helloIntervalMilliseconds) return []
    this.lastHelloAt = now
    return [...this.counted.keys()].map((to) => ({
      to, message: { kind: 'limits.hello', sentAt: now, joining: !this.holding }
    }))
  }

  private mayHold (now: number): boolean {
    if (!this.hasVmList || now < this.earliestHoldAt || this.leaseEndsAt <= now) return false
    const all = [...this.counted.values()]
    if (all.some(({ recognisedUntil }) => recognisedUntil <= now)) return false
    return all.some(({ holding }) => holding) || now >= this.joiningSince + this.certainStopMilliseconds
  }

  /** Time after which a VM that is neither listed nor recognised has certainly stopped holding. */
  private get certainStopMilliseconds (): number {
    return withClockMargin(this.options.listLagMilliseconds + shareLeaseMilliseconds)
  }

  private isUnlistedBeyondLag (entry: CountedVm): boolean {
    return entry.unlistedSince !== undefined && this.lastListAskedAt - entry.unlistedSince > this.options.listLagMilliseconds
  }

  private dropStoppedVms (now: number): void {
    for (const [vm, entry] of this.counted) {
      if (entry.unlistedSince === undefined || !this.isUnlistedBeyondLag(entry)) continue
      if (now >= entry.unlistedSince + this.certainStopMilliseconds && now >= entry.countedAtLeastUntil) this.counted.delete(vm)
    }
  }

  private countVm (vm: VmId, now: number): void {
    if (this.counted.has(vm)) return
    const unlistedSince = this.listedVms.has(vm) ? undefined : now
    this.counted.set(vm, {
      recognisedUntil: -Infinity, holding: false, countedAtLeastUntil: now, unlistedSince
    })
  }
}
