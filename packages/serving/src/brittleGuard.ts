/**
 * Keeps what a brittle upstream has to turn away, of all VMs together, within
 * the number that it names. Each VM keeps to its share of the places, and where
 * it doesn't know that places are free, to its share of that number, with what
 * it has just sent counted as turned away. No VM needs to hear of another one.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { SendWindow } from './sendWindow.js'
import { rankSenders } from './senderRank.js'
import type { Clock, UpstreamId, VmId } from '@cuminvale/common'
import type { ReportedLoad } from './upstreamState.js'

export interface BrittleShareInput {
  readonly upstream: UpstreamId
  readonly self: VmId
  /** Other VMs of the region that may be running, heard or not. */
  readonly neighbours: readonly VmId[]
  /** VMs that share, including this one and assumed ones. */
  readonly count: number
  /** What is shared by all VMs. */
  readonly total: number
}

/** This VM's part of a number that is shared evenly; if it doesn't suffice for all, some VMs have one each. */
export const brittleShare = ({ upstream, self, neighbours, count, total }: BrittleShareInput): number => {
  if (total >= count) return Math.floor(total / count)
  return rankSenders(upstream, [self, ...neighbours]).slice(0, Math.floor(total)).includes(self) ? 1 : 0
}

/** How the VMs of the region share an upstream. */
export interface BrittleSharing {
  /** VMs that share, including this one and assumed ones. */
  readonly count: number
  /** A number of this VM, from 0 to 1, that spreads trials over time. */
  readonly draw: number
  /** This VM's part of a number. */
  readonly partOf: (total: number) => number
}

export interface BrittleQuery {
  readonly ownInFlight: number
  readonly slots: number
  /** What the upstream last reported of itself, if that is recent. */
  readonly load: ReportedLoad | undefined
  readonly sharing: BrittleSharing
}

/** Least time without an answer after which a VM that knows of no free place sends one request, to learn of one, or that the upstream is sound again. */
const minimumTrialMilliseconds = 1_000
/** Trials of all VMs, as a share of the requests that may be turned away. */
const trialShare = 0.5
/** Time in which a send may still be turned away without this VM knowing. */
const unansweredMilliseconds = 30
/** Share of the slots up to which places count as free by the upstream's own report. */
const freeShare = 0.75

export class BrittleGuard {
  private rejectionsPerSecond: number | undefined
  private namedAt = -Infinity
  private readonly declines: SendWindow
  private sentAt: number[] = []

  constructor (private readonly clock: Clock) {
    this.declines = new SendWindow(clock)
  }

  get isBrittle (): boolean {
    return this.rejectionsPerSecond !== undefined
  }

  /** Records how many requests a second the upstream may turn away, as an answer named it; undefined if it named none. */
  name (rejectionsPerSecond: number | undefined): void {
    this.rejectionsPerSecond = rejectionsPerSecond
    this.namedAt = this.clock.monotonic()
  }

  recordDecline (): void {
    if (this.isBrittle) this.declines.sent()
  }

  recordSend (): void {
    if (this.isBrittle) this.sentAt.push(this.clock.monotonic())
  }

  allows ({ ownInFlight, slots, load, sharing: { count, draw, partOf } }: BrittleQuery): boolean {
    const { rejectionsPerSecond } = this
    if (rejectionsPerSecond === undefined) return true
    const now = this.clock.monotonic()
    this.sentAt = this.sentAt.filter((at) => at > now - unansweredMilliseconds)
    const places = partOf(slots)
    const isTrialDue = ownInFlight === 0 && now - this.namedAt >= trialInterval(count, rejectionsPerSecond) * (1 + draw)
    if (places === 0) return isTrialDue
    const occupied = load === undefined ? undefined : load.running + load.waiting + this.sentAt.length
    if (ownInFlight < places && occupied !== undefined && occupied < slots * freeShare) return true
    // Its answer brings a report.
    if (occupied === undefined && isTrialDue) return this.declines.allows(1)
    // The places of others may be free, or its own taken; it risks being turned away.
    return (occupied === undefined || occupied < slots) && this.declines.allows(partOf(rejectionsPerSecond * (1 - trialShare)) - this.sentAt.length)
  }
}

/** Milliseconds without an answer after which a VM sends a trial, such that those of all VMs are a part of what may be turned away. */
const trialInterval = (count: number, rejectionsPerSecond: number): number =>
  Math.max(minimumTrialMilliseconds, millisecondsPerSecond * count / (Math.max(1, rejectionsPerSecond) * trialShare))
