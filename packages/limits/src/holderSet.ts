/**
 * Which VMs of a region may hold shares now. Every VM that holds a share
 * counts every other that may, itself included, so that equal parts by count
 * never add up to more than the region's share.
 *
 * - A VM joins once every VM it counts has recognised it, and one of them
 *   holds a share, or all earlier holders have surely stopped.
 * - It holds on while the VM list named it lately, or while every VM it counts
 *   recognised it lately; the second carries a region cut off from the list.
 *   A VM that counts no other needs the list.
 * - It drops another only after the VM list has left that one out for the
 *   list's lag and the other's evidence has run out.
 */

import type { IncarnationId, VmId } from '@cuminvale/common'
import type { LimitHello, LimitRecognition, Outbound, PeerIdentity } from '@cuminvale/messages'
import { evidenceMilliseconds, helloMilliseconds, withDrift } from './constants.js'

interface CountedVm {
  /** End of the last recognition by this VM, on our clock. */
  recognisedUntil: number
  /** Whether it held a share when it last recognised us. */
  holding: boolean
  /** We keep counting it until then at least. */
  promisedUntil: number
  /** Since when the VM list has not named it. */
  unlistedSince: number | undefined
}

export interface HolderSetOptions {
  readonly self: PeerIdentity
  /** Bound on the age of the VM list's content. */
  readonly listLagMilliseconds: number
}

export class HolderSet {
  private readonly counted = new Map<VmId, CountedVm>()
  private listed: ReadonlySet<VmId> = new Set()
  private listedUntil = -Infinity
  private lastListAt = -Infinity
  private listSeen = false
  private holding = false
  private joiningSince: number
  /** Questions sent before this are void: the VM may have been suspended since. */
  private notBefore: number
  private helloAt = -Infinity
  /** Earlier incarnations' loans have ended by then. */
  private readonly quarantinedUntil: number

  constructor (private readonly options: HolderSetOptions, now: number) {
    this.joiningSince = now
    this.notBefore = now
    this.quarantinedUntil = now + withDrift(evidenceMilliseconds)
  }

  /** VMs that may hold shares, this one included. */
  get count (): number {
    return this.counted.size + 1
  }

  get isHolding (): boolean {
    return this.holding
  }

  counts (vm: VmId): boolean {
    return this.counted.has(vm)
  }

  /** End of the present evidence. A VM that counts no other has only the VM list to tell it of its replacement. */
  get evidenceUntil (): number {
    let recognisedUntil = this.counted.size > 0 ? Infinity : -Infinity
    for (const vm of this.counted.values()) recognisedUntil = Math.min(recognisedUntil, vm.recognisedUntil)
    return Math.max(this.listedUntil, recognisedUntil)
  }

  /** Stops holding; the VM must be recognised anew. */
  lapse (now: number): void {
    this.holding = false
    this.joiningSince = now
    this.helloAt = -Infinity
    for (const vm of this.counted.values()) vm.holding = false
  }

  /** Voids all evidence after the VM may have been suspended. */
  suspended (now: number): void {
    this.notBefore = now
    this.listedUntil = -Infinity
    for (const vm of this.counted.values()) vm.recognisedUntil = -Infinity
    this.lapse(now)
  }

  isCurrent (sentAt: number, to: IncarnationId): boolean {
    return to === this.options.self.incarnation && sentAt >= this.notBefore
  }

  /** Adopts the VM list's names in this region, asked for at a time. */
  adoptList (names: ReadonlySet<VmId>, askedAt: number): void {
    if (askedAt < this.notBefore) return
    this.listSeen = true
    this.listed = names
    this.lastListAt = askedAt
    if (names.has(this.options.self.vm)) this.listedUntil = Math.max(this.listedUntil, askedAt + evidenceMilliseconds)
    for (const name of names) if (name !== this.options.self.vm) this.add(name, askedAt)
    for (const [name, vm] of this.counted) {
      if (names.has(name)) vm.unlistedSince = undefined
      else vm.unlistedSince ??= askedAt
    }
  }

  /** Answers a peer's hello; counts the peer from now on where its share fits. */
  answer (from: PeerIdentity, hello: LimitHello, now: number, fits: boolean): LimitRecognition {
    if (fits) this.add(from.vm, now)
    const vm = this.counted.get(from.vm)
    const recognised = fits && vm !== undefined && !this.isLongUnlisted(vm)
    if (recognised) vm.promisedUntil = now + withDrift(evidenceMilliseconds)
    return {
      kind: 'limits.recognition',
      to: from.incarnation,
      sentAt: hello.sentAt,
      recognised,
      holding: this.holding,
      counted: hello.joining ? [...this.counted.keys()] : []
    }
  }

  recognised (from: PeerIdentity, message: LimitRecognition, now: number): void {
    if (!this.isCurrent(message.sentAt, message.to)) return
    const vm = this.counted.get(from.vm)
    if (vm === undefined || message.sentAt < this.joiningSince) return
    for (const name of message.counted) if (name !== this.options.self.vm) this.add(name, now)
    if (!message.recognised) return
    vm.recognisedUntil = Math.max(vm.recognisedUntil, message.sentAt + evidenceMilliseconds)
    vm.holding = message.holding
  }

  tick (now: number): readonly Outbound[] {
    this.dropStopped(now)
    if (!this.holding) this.holding = this.mayHold(now)
    if (now - this.helloAt < helloMilliseconds) return []
    this.helloAt = now
    return [...this.counted.keys()].map((to) => ({
      to, message: { kind: 'limits.hello', sentAt: now, joining: !this.holding }
    }))
  }

  private mayHold (now: number): boolean {
    if (!this.listSeen || now < this.quarantinedUntil || this.evidenceUntil <= now) return false
    const all = [...this.counted.values()]
    if (all.some(({ recognisedUntil }) => recognisedUntil <= now)) return false
    return all.some(({ holding }) => holding) || now >= this.joiningSince + this.stopMilliseconds
  }

  /** From its first absence in the VM list until a VM has surely stopped. */
  private get stopMilliseconds (): number {
    return withDrift(this.options.listLagMilliseconds + evidenceMilliseconds)
  }

  private isLongUnlisted (vm: CountedVm): boolean {
    return vm.unlistedSince !== undefined && this.lastListAt - vm.unlistedSince > this.options.listLagMilliseconds
  }

  private dropStopped (now: number): void {
    for (const [name, vm] of this.counted) {
      if (vm.unlistedSince === undefined || !this.isLongUnlisted(vm)) continue
      if (now >= vm.unlistedSince + this.stopMilliseconds && now >= vm.promisedUntil) this.counted.delete(name)
    }
  }

  private add (name: VmId, now: number): void {
    if (this.counted.has(name)) return
    const unlistedSince = this.listed.has(name) ? undefined : now
    this.counted.set(name, {
      recognisedUntil: -Infinity, holding: false, promisedUntil: now, unlistedSince
    })
  }
}
