/**
 * Keeps what all VMs of a region together send to one upstream within the limit
 * that the upstream names in its answers. Each VM has a bucket for the whole
 * limit, and takes from it its own sends and those that the others report. The
 * bucket fills only with the share of the VMs whose sends this VM learns of, so
 * that two sides that don't hear each other fill no more than the limit together,
 * and VMs that report nothing, as in a large region, keep to their even share.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { rankSenders } from './senderRank.js'
import type { Clock, UpstreamId, VmId } from '@cuminvale/common'

/** The users' bound: in any such window, the limit times the overage, and the margin. */
export const sendWindowSeconds = 4
export const sendOverage = 1.5
export const sendMargin = 5
/** Share of the overage and margin that senders may use with one send each that the others don't know of yet. */
const usedMarginShare = 0.8
/** Limit that is used instead of a lower one, zero included: somebody has to learn when it ends. */
const minimumPerSecond = 1 / sendWindowSeconds
/** Time without sends whose part of the limit may still be used. */
const burstSeconds = 0.1

/** Time for which the share is kept before it is asked for again; every placement reads it. */
const shareLifetimeMilliseconds = 100

/** A limit that an upstream named, or undefined where its answer named none. */
export type NamedLimit = number | undefined

/** VMs that may send at the same time without a report of each other's last send. */
export const maximumSenders = (perSecond: number): number =>
  Math.max(1, Math.floor((sendWindowSeconds * (sendOverage - 1) * perSecond + sendMargin) * usedMarginShare))

export interface SendShareInput {
  readonly upstream: UpstreamId
  readonly self: VmId
  /** Other VMs of the region that may be running, heard or not. */
  readonly neighbours: readonly VmId[]
  /** Whether this VM learns of the other one's sends soon after they are made. */
  readonly isReporting: (vm: VmId) => boolean
  /** VMs that share the limit, including this one and assumed ones. */
  readonly count: number
  readonly perSecond: number
}

/** Part of the limit with which this VM fills its bucket; 0 if only others send. */
export const sendShare = ({ upstream, self, neighbours, isReporting, count, perSecond }: SendShareInput): number => {
  const most = maximumSenders(perSecond)
  if (count <= most) return (1 + neighbours.filter(isReporting).length) / count
  const senders = rankSenders(upstream, [self, ...neighbours]).slice(0, most)
  return senders.includes(self) ? (1 + senders.filter((vm) => vm !== self && isReporting(vm)).length) / most : 0
}

export interface SharedSendLimitOptions {
  readonly clock: Clock
  /** Part of the limit with which this VM may fill its bucket. */
  readonly share: (perSecond: number) => number
  /** Called with each send while a limit is named. */
  readonly onSent?: () => void
}

export class SharedSendLimit {
  /** Sends of this VM while a limit was named. */
  sent = 0
  private limit: NamedLimit
  private answeredAt = -Infinity
  private share = 0
  private shareAskedAt = -Infinity
  private level = 0
  private updatedAt = 0

  constructor (private readonly options: SharedSendLimitOptions) {}

  get perSecond (): NamedLimit {
    return this.limit
  }

  get isLimited (): boolean {
    return this.limit !== undefined
  }

  /** Monotonic time of the last answer that named the limit, or named none. */
  get namedAt (): number {
    return this.answeredAt
  }

  /** Takes over what an answer said; false if it is older than the last one or says the same. */
  name (perSecond: NamedLimit, at = this.options.clock.monotonic()): boolean {
    if (at < this.answeredAt) return false
    this.answeredAt = at
    if (perSecond === this.limit) return false
    this.refill()
    if (this.limit === undefined) this.level = 0
    this.limit = perSecond
    return true
  }

  /** Whether one more send keeps to the limit. */
  get allows (): boolean {
    return this.allowance >= 1
  }

  /** Sends that keep to the limit now. */
  get allowance (): number {
    if (this.limit === undefined) return Infinity
    this.refill()
    return Math.floor(this.level)
  }

  /** Milliseconds until one more send keeps to the limit, if the others send nothing; Infinity if only others send. */
  get millisecondsUntilAllowed (): number {
    if (this.allows) return 0
    const perSecond = this.ownLimit
    return perSecond <= 0 ? Infinity : (1 - this.level) / perSecond * millisecondsPerSecond
  }

  /** Records a send of this VM. */
  recordSend (): void {
    if (this.limit === undefined) return
    this.refill()
    this.level -= 1
    this.sent += 1
    this.options.onSent?.()
  }

  /** Records sends of other VMs. */
  recordOtherSends (count: number): void {
    if (this.limit === undefined) return
    this.refill()
    // What was sent before the last window no longer counts.
    this.level = Math.max(-this.usedLimit * sendWindowSeconds, this.level - count)
  }

  private get usedLimit (): number {
    return Math.max(minimumPerSecond, this.limit ?? 0)
  }

  private get ownLimit (): number {
    const now = this.options.clock.monotonic()
    if (now - this.shareAskedAt >= shareLifetimeMilliseconds) {
      this.share = this.options.share(this.usedLimit)
      this.shareAskedAt = now
    }
    return this.usedLimit * this.share
  }

  private refill (): void {
    const now = this.options.clock.monotonic()
    const seconds = (now - this.updatedAt) / millisecondsPerSecond
    this.updatedAt = now
    if (this.limit === undefined) return
    const { ownLimit } = this
    this.level = Math.min(Math.max(1, ownLimit * burstSeconds), this.level + ownLimit * seconds)
  }
}
