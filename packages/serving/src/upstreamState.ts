/**
 * State of one upstream as this VM knows or estimates it: this VM's requests
 * there, loads reported by other VMs and the upstream, latency, and recently
 * read prompt parts.
 */

import { AnswerNaming } from './answerNaming.js'
import { BrittleGuard } from './brittleGuard.js'
import { DecayingSum } from './decayingSum.js'
import { QueueLimit } from './queueLimit.js'
import { RecentParts } from './recentParts.js'
import { SendWindow } from './sendWindow.js'
import { SharedSendLimit } from './sharedSendLimit.js'
import { StartDoubt } from './startDoubt.js'
import { UpstreamPerformance } from './upstreamPerformance.js'
import { UpstreamStart } from './upstreamStart.js'
import type { Clock, UpstreamId } from '@cuminvale/common'
import type { BrittleSharing } from './brittleGuard.js'
import type { CountedSend } from './sendWindow.js'
import type { ServicePerformance } from './servicePerformance.js'
import type { AnnouncedUpstream, PromptPart, PromptPartId } from './types.js'

/** Load that an upstream reports of itself. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes there at this moment, relative to the usual (1); undefined if the upstream doesn't say. */
  readonly pace?: number | undefined
}

/** Requests of one or more VMs at an upstream, and their unread prompt tokens. */
export interface InFlightLoad {
  readonly inFlight: number
  readonly pendingTokens: number
}

/** Requests of this VM at an upstream, and their unread prompt tokens. */
interface OwnWork {
  inFlight: number
  pendingTokens: number
}

/** The neighbours that choose by the same load reports, and how often they report. */
export interface NeighbourReports {
  /** Other known VMs of the region. */
  readonly neighbourCount: number
  /** Time between two reports of one VM. */
  readonly intervalMilliseconds: number
}

/** How the VMs of the region share the limit that an upstream names. */
export interface SendSharing {
  /** Part of the limit with which this VM may fill its bucket. */
  readonly share: (upstream: UpstreamId, perSecond: number) => number
  /** Called with each send to an upstream that names a limit. */
  readonly onSent: (upstream: UpstreamState) => void
}

/** Age of a report in intervals: half an interval on average, the rest for its transit and for timer delays. */
const reportAgeIntervals = 0.6
/** For a VM without neighbours that choose by the same reports. */
const noNeighbours: NeighbourReports = { neighbourCount: 0, intervalMilliseconds: 200 }

/** For a VM that is the only one of its region. */
const noSharing: SendSharing = { share: () => 1, onSent: () => { /* nobody to tell */ } }

/** Age after which an upstream's report is less accurate than the other VMs' own counts. */
const loadLifetimeMilliseconds = 400
const minimumEjectionMilliseconds = 600
const maximumEjectionMilliseconds = 5_000
const failuresBeforeEjection = 3
const maximumPartCount = 512

export class UpstreamState {
  neighbourLoad: InFlightLoad = { inFlight: 0, pendingTokens: 0 }
  /** What the upstream takes for its work, learned from its answers. */
  performance: UpstreamPerformance
  lastAnswerAt = -Infinity
  /** Monotonic time of the last failure to connect to it from this VM; undefined once it was reached again. */
  unreachedSince: number | undefined
  /** Whether one request must be answered before others follow: after a silence, or while most other upstreams are lost. */
  needsTrial = false
  /** Whether another upstream has answered at this one's address; this one is then gone, even if it is still announced. */
  isReplaced = false
  /** Whether an answer of the upstream said that it leaves. Nothing withdraws that; a new start has a state of its own. */
  hasSaidToLeave = false
  /** Monotonic time at which it said to leave, or asked for a pause. */
  private askedAt = -Infinity
  readonly start: UpstreamStart
  /** Decides whether the upstream still is the start that was announced last. */
  readonly startDoubt: StartDoubt
  brittle: BrittleGuard
  /** Whether its answers name their attempts. */
  naming: AnswerNaming
  queueLimit: QueueLimit
  sends: SendWindow
  /** Keeps to the limit that the upstream names in its answers, if it names one. */
  sendLimit: SharedSendLimit
  /** This VM's requests there, whichever record they were placed by. */
  private work: OwnWork = { inFlight: 0, pendingTokens: 0 }
  private load: (ReportedLoad & { readonly at: number, readonly ownInFlightAtReport: number }) | undefined
  private failures = 0
  private ejectionMilliseconds = 0
  private ejectedUntil = 0
  private pausedUntil = 0
  private readonly parts: RecentParts

  private readonly unreportedTokens: DecayingSum
  private readonly unreportedSends: DecayingSum

  constructor (private readonly clock: Clock, public announced: AnnouncedUpstream, private readonly neighbourReports: NeighbourReports = noNeighbours, sharing: SendSharing = noSharing, servicePerformance?: ServicePerformance) {
    this.performance = new UpstreamPerformance(clock, servicePerformance)
    this.start = new UpstreamStart(clock)
    this.startDoubt = new StartDoubt(clock)
    this.brittle = new BrittleGuard(clock)
    this.naming = new AnswerNaming(clock)
    this.queueLimit = new QueueLimit(clock)
    this.sends = new SendWindow(clock)
    this.sendLimit = new SharedSendLimit({ clock, share: (perSecond) => sharing.share(this.announced.id, perSecond), onSent: () => sharing.onSent(this) })
    this.unreportedTokens = new DecayingSum(clock)
    this.unreportedSends = new DecayingSum(clock)
    this.parts = new RecentParts(clock, maximumPartCount)
  }

  get ownInFlight (): number {
    return this.work.inFlight
  }

  set ownInFlight (count: number) {
    this.work.inFlight = count
  }

  /** Prompt tokens of this VM's requests without a first answer. */
  get ownPendingTokens (): number {
    return this.work.pendingTokens
  }

  set ownPendingTokens (tokens: number) {
    this.work.pendingTokens = tokens
  }

  /** Requests of all VMs at the upstream, as far as known or estimated. */
  get occupancy (): number {
    const { load } = this
    if (load === undefined || this.clock.monotonic() - load.at > loadLifetimeMilliseconds) {
      return this.ownInFlight + this.neighbourLoad.inFlight + this.estimateUnreported(this.unreportedSends)
    }
    return this.ownInFlight + Math.max(0, load.running + load.waiting - load.ownInFlightAtReport)
  }

  /** Unread prompt tokens of all VMs at the upstream as last reported; what others have sent since is not in it. */
  get reportedPendingTokens (): number {
    return this.ownPendingTokens + this.neighbourLoad.pendingTokens
  }

  get pendingTokens (): number {
    return this.reportedPendingTokens + this.estimateUnreported(this.unreportedTokens)
  }

  /** Records a send. The other VMs choose by the same reports and have likely sent as much since their last ones. */
  recordSend (unreadTokens: number): void {
    this.reserveSend(unreadTokens).at = this.clock.monotonic()
  }

  /** Records a send that is written once its connection is open. */
  reserveSend (unreadTokens: number): CountedSend {
    const timeConstantMilliseconds = this.neighbourReports.intervalMilliseconds * reportAgeIntervals
    this.unreportedTokens.add(unreadTokens, timeConstantMilliseconds)
    this.unreportedSends.add(1, timeConstantMilliseconds)
    this.sendLimit.recordSend()
    this.brittle.recordSend()
    return this.sends.reserve()
  }

  /** Records that the upstream declined a request, with the load that it reported at that moment; one without a report may have declined for any reason. */
  recordDecline (load: ReportedLoad | undefined): void {
    this.brittle.recordDecline()
    if (load !== undefined && this.sendLimit.perSecond === undefined) this.queueLimit.recordDecline(load.running + load.waiting, this.announced.slots)
  }

  /** Whether its queue has a place, as far as this VM knows. */
  get hasQueuePlace (): boolean {
    return this.queueLimit.allows(this.occupancy, this.announced.slots)
  }

  /** Whether the upstream isn't brittle, or takes one more request with little risk that it has to turn it away. */
  allowsBrittle (sharing: BrittleSharing): boolean {
    const { load, ownInFlight, announced: { slots } } = this
    const isRecent = load !== undefined && this.clock.monotonic() - load.at <= loadLifetimeMilliseconds
    return this.brittle.allows({ ownInFlight, slots, load: isRecent ? load : undefined, sharing })
  }

  private estimateUnreported (ownSum: DecayingSum): number {
    const { neighbourCount, intervalMilliseconds } = this.neighbourReports
    return ownSum.value(intervalMilliseconds * reportAgeIntervals) * neighbourCount
  }

  get isCold (): boolean {
    return this.start.isCold
  }

  /** Whole milliseconds since its last answer; undefined before the first one. */
  get answerAgeMilliseconds (): number | undefined {
    return this.lastAnswerAt === -Infinity ? undefined : Math.round(this.clock.monotonic() - this.lastAnswerAt)
  }

  /** Whether the upstream failed often enough recently to be skipped while other upstreams are left. */
  get isEjected (): boolean {
    return this.clock.monotonic() < this.ejectedUntil
  }

  /** Whether this VM reaches the upstream, and it did not fail often recently. */
  get isHealthy (): boolean {
    return !this.isEjected && this.unreachedSince === undefined && !this.needsTrial
  }

  /** Whether one request may find out whether the upstream answers again. */
  get mayBeTried (): boolean {
    return this.needsTrial && this.ownInFlight === 0 && !this.isEjected && this.unreachedSince === undefined
  }

  /** Milliseconds for which the upstream wants no request of this VM. */
  get pauseMilliseconds (): number {
    return Math.max(0, this.pausedUntil - this.clock.monotonic())
  }

  /** Records that the upstream wants no request of this VM for a time; a shorter one doesn't replace a longer one. */
  pauseFor (milliseconds: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.clock.monotonic() + milliseconds)
    this.askedAt = this.clock.monotonic()
  }

  /** Records that the upstream said that it leaves. */
  saidToLeave (): void {
    this.hasSaidToLeave = true
    this.askedAt = this.clock.monotonic()
  }

  /**
   * Takes over what bounds the sends to the process. The record of a new start
   * may come after requests were sent to it, so that all of this may be of the
   * new start already.
   */
  continueFrom (earlier: UpstreamState): void {
    this.work = earlier.work
    this.sends = earlier.sends
    this.brittle = earlier.brittle
    this.queueLimit = earlier.queueLimit
    if (earlier.sendLimit.isLimited) this.sendLimit.name(earlier.sendLimit.perSecond, earlier.sendLimit.namedAt)
    this.start.continueFrom(earlier.start)
    // What was said before the last sign of an end was said by the earlier start.
    if (earlier.askedAt <= earlier.start.mayHaveEndedAt || earlier.start.mayHaveEndedAt === -Infinity) return
    this.hasSaidToLeave = earlier.hasSaidToLeave
    this.pausedUntil = earlier.pausedUntil
    this.askedAt = earlier.askedAt
  }

  recordReportedLoad (load: ReportedLoad): void {
    this.load = { ...load, at: this.clock.monotonic(), ownInFlightAtReport: this.ownInFlight }
  }

  /** Ends an ejection, after it was shown that the upstream can be reached. */
  readmit (): void {
    this.unreachedSince = undefined
    this.needsTrial = false
    this.ejectedUntil = 0
  }

  succeeded (): void {
    this.lastAnswerAt = this.clock.monotonic()
    this.startDoubt.recordAnswer()
    this.failures = 0
    this.ejectionMilliseconds = 0
    this.needsTrial = false
  }

  /** Records that the upstream answered nothing for too long. */
  fellSilent (): void {
    this.needsTrial = true
    this.failed(failuresBeforeEjection)
  }

  /** Records a failure of the upstream; several in a row eject it, for longer each time it happens without a success. */
  failed (weight = 1): void {
    this.failures += weight
    if (this.failures < failuresBeforeEjection) return
    this.failures = 0
    this.ejectionMilliseconds = Math.min(maximumEjectionMilliseconds, Math.max(minimumEjectionMilliseconds, this.ejectionMilliseconds * 2))
    this.ejectedUntil = this.clock.monotonic() + this.ejectionMilliseconds
  }

  /** Prompt tokens that the upstream has to read, given the parts that it was sent recently. */
  unreadTokens (promptTokens: number, parts: readonly PromptPart[]): number {
    let cachedTokens = 0
    for (const part of parts) {
      if (!this.parts.has(part.id)) break
      cachedTokens += part.tokens
    }
    return Math.max(1, promptTokens - cachedTokens)
  }

  /** Tokens of the parts that the upstream has to read, without those that only one request has. */
  unreadPartTokens (parts: readonly PromptPart[]): number {
    let tokens = 0
    for (const part of parts) {
      if (tokens > 0 || !this.parts.has(part.id)) tokens += part.tokens
    }
    return tokens
  }

  holdsPart (id: PromptPartId): boolean {
    return this.parts.has(id)
  }

  /** Records that the upstream reads the parts, for a request of this VM or another. */
  recordParts (ids: readonly PromptPartId[]): void {
    this.parts.add(ids)
  }

  clearParts (): void {
    this.parts.clear()
  }
}
