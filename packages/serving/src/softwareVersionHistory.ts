/**
 * The software versions that the upstreams of each service were announced with
 * lately. If a service had one version for longer than any stream lasts, all of
 * its streams began at that one. This is proven only for a time in which this VM
 * had fresh records, ran without a pause and knew one routing, and in which no
 * VM that it didn't hear may have known another version. A VM that lacks such a
 * time takes over the history of another one.
 */

import { RoutingHistory } from './routingHistory.js'
import { VersionHoldDown } from './versionHoldDown.js'
import type { Clock } from '@cuminvale/common'
import type { RouteTable } from './routeTable.js'
import type { HandedRouting, RoutedStream } from './routingHistory.js'
import type { AnnouncedUpstream, ServiceName, SoftwareVersion } from './types.js'
import type { ClockReading, ServingVersion } from './versionHoldDown.js'

/** Time for which versions that are announced no longer are remembered. */
const memoryMilliseconds = 600_000
/** Age of the records beyond which they may lack a version that has served since, and pause of this VM beyond which they may seem fresher than they are; more than the interval of polls without a change. */
export const maximumRecordAgeMilliseconds = 5_000
/** Time until a VM that is cut off counts as silent: 2.6 s in a large region, and another second or two until other regions are told. */
const unnoticedSilenceMilliseconds = 5_000
/** Time by which other VMs may lag behind in what they know of versions, unless they are known to be silent. */
export const versionLagMilliseconds = maximumRecordAgeMilliseconds + unnoticedSilenceMilliseconds
/** Age of a question beyond which its answer is not taken: it may have waited while this VM stood still. */
const maximumHandOverMilliseconds = 1_000
/** Silences that are kept apart; beyond these the oldest are taken for one. */
const maximumSilenceCount = 64
/** Time within which other VMs tell whether a jump of the time of day was a suspension of this VM. */
const suspensionReportMilliseconds = 2_000

/** A time in which a VM that may have been running was not heard. */
interface Silence {
  readonly since: number
  until: number
}

export interface AnnouncedVersion {
  readonly service: ServiceName
  readonly softwareVersion: SoftwareVersion
}

/** Why no version is proven, for the log. */
export const UnprovenVersion = {
  OtherRouting: 'the path went to another service lately',
  Interrupted: 'this VM stood still, or its time of day jumped, a moment ago',
  OldRecords: 'the records are old',
  ShortHistory: 'the versions were not observed for long enough',
  Silence: 'a VM that is not heard may serve another version',
  SeveralVersions: 'the service had several versions lately'
} as const
export type UnprovenVersion = typeof UnprovenVersion[keyof typeof UnprovenVersion]

export type VersionProofResult = { readonly softwareVersion: SoftwareVersion } | { readonly softwareVersion: undefined, readonly reason: UnprovenVersion }

/** What a VM knows of the versions of the past. All ages are milliseconds, up to the moment at which it was handed over. */
export interface HandedHistory {
  /** Position up to which the sender knows the records. */
  readonly position: number
  /** Age of the moment since which the history is complete. */
  readonly completeAge: number
  /** Versions, and the age of their last announcement. */
  readonly versions: ReadonlyArray<readonly [ServiceName, SoftwareVersion, number]>
  /** Ages of the begin and of the end of each time in which a VM was not heard. */
  readonly silences: ReadonlyArray<readonly [number, number]>
  readonly routings: readonly HandedRouting[]
}

export interface VersionObservation {
  readonly recordAgeMilliseconds: number
  /** Position up to which the records are known; undefined if there is none that shows whether they have changed. */
  readonly recordPosition?: number | undefined
  /** Monotonic time since which a VM that may be running has not been heard; undefined if all are heard. */
  readonly silentSince: number | undefined
  /** Monotonic time since which all VMs that may be running hold new versions down; Infinity if one doesn't. */
  readonly isHeldSince?: number
}

export interface ProofOptions {
  /** Whether to leave out versions that all VMs still hold down. That holds only up to now: a stream that begins later may begin there. */
  readonly leavesOutHeldDown?: boolean
}

const unknownTime: ClockReading = { monotonic: -Infinity, wall: -Infinity }

const unproven = (reason: UnprovenVersion): VersionProofResult => ({ softwareVersion: undefined, reason })

export class SoftwareVersionHistory {
  /** Monotonic times at which each version was last announced; Infinity while it is. */
  private readonly lastAnnouncedAt = new Map<ServiceName, Map<SoftwareVersion, number>>()
  readonly routing = new RoutingHistory(versionLagMilliseconds, memoryMilliseconds)
  readonly holdDown: VersionHoldDown
  /** Time since which the announcements and the routing are known. */
  private knownSince = Infinity
  /** Time since which the records were never old and this VM never paused. */
  private completeSince: number
  private observedAt: number
  private clockLead: number
  private suspectUntil = -Infinity
  /** Whether the records are too old, or were and may lack versions that have served since. */
  private hasGap = false
  /** Position of the records when they were last fresh. */
  private freshPosition: number | undefined
  /** Position from which on this VM has known every change itself; Infinity until it is known. */
  private ownSince = Infinity
  private interruptedAt = -Infinity
  private silences: Silence[] = []
  /** When the records were known to be complete last. */
  private fresh = unknownTime
  private isHeldSince = Infinity
  /** When the source of the records came back from an older copy last: acknowledged records may have been missing. */
  private restoredAt = -Infinity

  constructor (private readonly clock: Clock) {
    this.holdDown = new VersionHoldDown(clock, versionLagMilliseconds)
    this.completeSince = this.observedAt = clock.monotonic()
    this.clockLead = this.currentClockLead
  }

  /** Applies the announcements, the versions that accept new work and the routing. Returns the versions that are announced and were not before. */
  sync (announced: readonly AnnouncedUpstream[], routing?: RouteTable, serving: readonly ServingVersion[] = []): readonly AnnouncedVersion[] {
    const added: AnnouncedVersion[] = []
    const now = this.clock.monotonic()
    const isFirst = this.knownSince === Infinity
    if (isFirst) this.knownSince = now
    this.routing.sync(routing, now, this.fresh)
    const previous = new Map([...this.lastAnnouncedAt].map(([service, versions]) => [service, new Map(versions)]))
    for (const versions of this.lastAnnouncedAt.values()) {
      for (const [version, at] of versions) {
        if (at === Infinity) versions.set(version, now)
        else if (now - at > memoryMilliseconds) versions.delete(version)
      }
    }
    for (const { service, softwareVersion } of announced) {
      const versions = this.lastAnnouncedAt.get(service) ?? new Map<SoftwareVersion, number>()
      const formerAt = previous.get(service)?.get(softwareVersion) ?? -Infinity
      if (versions.get(softwareVersion) !== Infinity && formerAt !== Infinity) {
        added.push({ service, softwareVersion })
        if (!isFirst) this.holdDown.learn(service, softwareVersion, { earliest: this.fresh, formerAt })
      }
      this.lastAnnouncedAt.set(service, versions.set(softwareVersion, Infinity))
    }
    this.holdDown.syncServing(serving)
    return added
  }

  /** Records versions and routings that were published while this VM's records were old. */
  recordPassed (versions: readonly AnnouncedVersion[], routings: readonly RouteTable[] = []): void {
    const now = this.clock.monotonic()
    for (const { service, softwareVersion } of versions) this.recordAnnounced(service, softwareVersion, now)
    for (const table of routings) this.routing.recordPassed(table, now)
  }

  /** Records that another VM knows of a version. Returns false if this VM knew it already. */
  recordReported ({ service, softwareVersion }: AnnouncedVersion): boolean {
    const now = this.clock.monotonic()
    return now - this.recordAnnounced(service, softwareVersion, now) > versionLagMilliseconds
  }

  /** Records what this VM knows at a tick. Returns false if it has stood still since the last one. */
  observe ({ recordAgeMilliseconds, recordPosition, silentSince, isHeldSince = Infinity }: VersionObservation): boolean {
    const now = this.clock.monotonic()
    const { isCurrent } = this
    this.observedAt = now
    if (this.hasClockJumped) this.suspectUntil = now + suspensionReportMilliseconds
    this.clockLead = this.currentClockLead
    if (!isCurrent) this.interrupt()
    this.observeRecords(recordAgeMilliseconds, recordPosition)
    this.isHeldSince = isHeldSince
    const freshAt = now - recordAgeMilliseconds
    if (this.isUninterrupted && freshAt > this.fresh.monotonic) this.fresh = { monotonic: freshAt, wall: this.clock.wall() - recordAgeMilliseconds }
    if (silentSince !== undefined) this.recordSilence(silentSince, now)
    return isCurrent
  }

  /** Records that this VM has read every change between two positions from the source, and recorded the versions in them; a gap of the records that began there hides none. */
  bridgeGap (since: number, until: number): void {
    if (this.freshPosition === undefined || !this.isInGapSince(since)) return
    this.hasGap = false
    this.freshPosition = Math.max(this.freshPosition, until)
  }

  /** Whether the records are too old, or were and may lack something, and were last fresh at a position or later. */
  isInGapSince (position: number): boolean {
    return this.hasGap && this.freshPosition !== undefined && position <= this.freshPosition
  }

  /** Records that this VM was suspended, while its own clock may have stood still. */
  interrupt (): void {
    this.completeSince = this.interruptedAt = this.clock.monotonic()
    this.ownSince = Infinity
    this.fresh = unknownTime
  }

  /** Records that the source of the records has come back from an older copy. */
  recordRestore (): void {
    this.restoredAt = this.clock.monotonic()
  }

  /** Whether this VM has not stood still since the last observation. */
  get isCurrent (): boolean {
    return this.clock.monotonic() - this.observedAt <= maximumRecordAgeMilliseconds
  }

  /** The only version that was announced for a service in that time, by what this VM knows; undefined if there were several, or if the time was not observed. */
  soleVersion (service: ServiceName, milliseconds: number): SoftwareVersion | undefined {
    const recent = this.recentVersions(service, milliseconds)
    return recent.length === 1 ? recent[0] : undefined
  }

  /**
   * The version at which all streams on a path began that go on. Other VMs
   * learn of a version with the delay of their records; one that is not heard
   * may still serve a version that it knew when it was last heard.
   */
  prove (stream: RoutedStream, lifetimeMilliseconds: number, { leavesOutHeldDown = false }: ProofOptions = {}): VersionProofResult {
    const now = this.clock.monotonic()
    const longest = this.routing.longestLifetime(stream, lifetimeMilliseconds, now)
    if (longest === undefined) return unproven(UnprovenVersion.OtherRouting)
    if (!this.isUninterrupted) return unproven(UnprovenVersion.Interrupted)
    if (this.hasGap) return unproven(UnprovenVersion.OldRecords)
    const provenSince = this.neededSince(longest)
    if (this.completeSince > provenSince) return unproven(this.completeSince > now - longest - versionLagMilliseconds ? UnprovenVersion.ShortHistory : UnprovenVersion.Silence)
    const recent = this.recentVersions(stream.service, now - provenSince)
    const used = leavesOutHeldDown && this.restoredAt < provenSince ? this.holdDown.usedVersions(stream.service, recent, { since: provenSince, isHeldSince: this.isHeldSince }) : recent
    const [softwareVersion] = used
    return softwareVersion === undefined || used.length > 1 ? unproven(UnprovenVersion.SeveralVersions) : { softwareVersion }
  }

  /** The only one of several targets at which a stream on a path may have begun, as all VMs still hold the others down; undefined if that is not certain. */
  soleUsedService (stream: Omit<RoutedStream, 'service'>, targets: readonly ServiceName[], lifetimeMilliseconds: number): ServiceName | undefined {
    const since = this.neededSince(lifetimeMilliseconds)
    return this.restoredAt < since ? this.routing.soleUsedService(stream, targets, { clock: this.clock, since, isHeldSince: this.isHeldSince }) : undefined
  }

  /** As `prove`; undefined if no version is proven. */
  provenVersion (stream: RoutedStream, lifetimeMilliseconds: number): SoftwareVersion | undefined {
    return this.prove(stream, lifetimeMilliseconds).softwareVersion
  }

  /** Whether this VM runs without an interruption and knows all versions since long enough ago to conclude one for streams of a lifetime, if there was one only. */
  isComplete (lifetimeMilliseconds: number): boolean {
    return this.isUninterrupted && !this.hasGap && Math.max(this.completeSince, this.knownSince) <= this.neededSince(lifetimeMilliseconds)
  }

  /** Milliseconds for which this VM has known all versions, by what it can prove for streams of a lifetime. */
  completeMilliseconds (lifetimeMilliseconds: number): number {
    if (this.hasGap || this.neededSince(lifetimeMilliseconds) === -Infinity) return 0
    return Math.max(0, this.clock.monotonic() - Math.max(this.completeSince, this.knownSince, this.routing.knownSince))
  }

  /** What this VM knows, for one that has started lately or stood still; undefined while this VM may lack something itself. */
  handOver (position: number, lifetimeMilliseconds: number): HandedHistory | undefined {
    if (!this.isUninterrupted || this.hasGap) return undefined
    const now = this.clock.monotonic()
    return {
      position,
      completeAge: this.completeMilliseconds(lifetimeMilliseconds),
      versions: [...this.lastAnnouncedAt].flatMap(([service, versions]) => [...versions].map(([version, at]) => [service, version, Math.max(0, now - at)] as const)),
      silences: this.silences.filter(({ until }) => now - until <= memoryMilliseconds).map(({ since, until }) => [now - since, now - until] as const),
      routings: this.routing.handOver(now)
    }
  }

  /**
   * Takes over the history of another VM in answer to a question, if it is longer
   * and reaches the position with which that of this VM begins. Ages are counted
   * from when they show the least: a silence from before the question, all else
   * from now. Times in which this VM had not yet heard another one are those of
   * the sender then. Returns false if nothing was taken over.
   */
  adopt ({ position, completeAge, versions, silences, routings }: HandedHistory, { askedAt, lifetimeMilliseconds }: { readonly askedAt: number, readonly lifetimeMilliseconds: number }): boolean {
    const now = this.clock.monotonic()
    const isAnswer = askedAt > this.interruptedAt && now - askedAt <= maximumHandOverMilliseconds
    if (!isAnswer || !this.isUninterrupted || this.hasGap || position < this.ownSince) return false
    if (completeAge <= this.completeMilliseconds(lifetimeMilliseconds)) return false
    // Others may have used these for long.
    for (const [service, version, age] of versions) this.recordAnnounced(service, version, now - age, unknownTime)
    this.silences = [...silences.map(([sinceAge, untilAge]) => ({ since: askedAt - sinceAge, until: now - untilAge })), ...this.silences.filter(({ since }) => since !== -Infinity)]
    this.joinOldestSilences()
    this.routing.adopt(routings, now)
    this.completeSince = now - completeAge
    this.knownSince = Math.min(this.knownSince, this.completeSince)
    return true
  }

  private get isUninterrupted (): boolean {
    return this.isCurrent && !this.hasClockJumped && this.clock.monotonic() >= this.suspectUntil
  }

  /** Time since which all versions must be known if streams of a lifetime are to be concluded. */
  private neededSince (lifetimeMilliseconds: number): number {
    const now = this.clock.monotonic()
    let needed = now
    for (const { since, until } of this.silences) {
      if (until >= now - lifetimeMilliseconds) needed = Math.min(needed, since)
    }
    return needed - lifetimeMilliseconds - versionLagMilliseconds
  }

  private observeRecords (ageMilliseconds: number, position: number | undefined): void {
    if (ageMilliseconds > maximumRecordAgeMilliseconds) {
      this.hasGap = true
      return
    }
    // Nothing has changed if the position is the same.
    if (this.hasGap && (position === undefined || position !== this.freshPosition)) {
      this.completeSince = this.clock.monotonic()
      this.ownSince = Infinity
    }
    this.hasGap = false
    this.freshPosition = position
    if (this.ownSince === Infinity) this.ownSince = position ?? Infinity
  }

  /** Records that a version was announced at a time; returns the time that was known before, -Infinity for a new one. */
  private recordAnnounced (service: ServiceName, version: SoftwareVersion, at: number, earliest: ClockReading = this.fresh): number {
    const versions = this.lastAnnouncedAt.get(service) ?? new Map<SoftwareVersion, number>()
    const known = versions.get(version) ?? -Infinity
    this.lastAnnouncedAt.set(service, versions.set(version, Math.max(known, at)))
    if (at > known) this.holdDown.learn(service, version, { earliest, formerAt: known })
    return known
  }

  /** The versions that were announced for a service in that time; none if it was not observed. */
  private recentVersions (service: ServiceName, milliseconds: number): readonly SoftwareVersion[] {
    const now = this.clock.monotonic()
    if (now - this.knownSince < milliseconds || milliseconds > memoryMilliseconds) return []
    return [...this.lastAnnouncedAt.get(service) ?? []].filter(([, at]) => at === Infinity || now - at <= milliseconds).map(([version]) => version)
  }

  /** The time of day stands for the clock of the machine, since the steady clock of a suspended VM stands still. */
  private get hasClockJumped (): boolean {
    return Math.abs(this.currentClockLead - this.clockLead) > maximumRecordAgeMilliseconds
  }

  private get currentClockLead (): number {
    return this.clock.wall() - this.clock.monotonic()
  }

  private recordSilence (since: number, now: number): void {
    this.silences = this.silences.filter(({ until }) => now - until <= memoryMilliseconds)
    const last = this.silences.at(-1)
    if (last?.since === since) last.until = now
    else this.silences.push({ since, until: now })
    this.joinOldestSilences()
  }

  private joinOldestSilences (): void {
    const excess = this.silences.length - maximumSilenceCount
    if (excess <= 0) return
    const oldest = this.silences.slice(0, excess + 1)
    const joined = { since: Math.min(...oldest.map(({ since }) => since)), until: Math.max(...oldest.map(({ until }) => until)) }
    this.silences = [joined, ...this.silences.slice(excess + 1)]
  }
}
