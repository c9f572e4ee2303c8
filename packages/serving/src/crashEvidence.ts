/**
 * Evidence of what crashes upstreams: one request, or one part that the prompts
 * of many requests share. All VMs put together the same observations of crashes
 * and completions, and decide from them alone, so that they agree; a decision
 * is made anew whenever the evidence changes. The last part of a prompt belongs
 * to the request itself and is no suspect.
 */

import { countReferences, groupRequests, selectRequests, ungroupRequests } from './crashRequests.js'
import { CrashSuspect, SuspectKind } from './crashSuspect.js'
import { chooseQuarantined } from './quarantineDecision.js'
import { SoundParts } from './soundParts.js'
import type { Clock, UpstreamId } from '@cuminvale/common'
import type { BrokenRequest } from './crashRequests.js'
import type { Crash, KeptObservation, SinglePart } from './crashSuspect.js'
import type { PromptPartId, ServiceName } from './types.js'

/** A request as evidence; equal digests are repeats of one request. */
export interface EvidenceRequest extends BrokenRequest {
  readonly service: ServiceName
}

/** What one VM saw of a crash: the requests whose connections broke. */
export interface CrashObservation {
  /** Unique among all VMs. */
  readonly id: string
  readonly upstream: UpstreamId
  readonly service: ServiceName
  /** Monotonic time of this VM. */
  readonly at: number
  readonly requests: readonly BrokenRequest[]
}

/** An upstream answered a request with this part completely and with success. */
export interface PartCompletion {
  readonly service: ServiceName
  readonly part: PromptPartId
  /** Monotonic time of this VM. */
  readonly at: number
}

/** Evidence that other VMs may not have. */
export interface EvidenceNews {
  readonly observations: readonly CrashObservation[]
  readonly completions: readonly PartCompletion[]
}

export interface Quarantine {
  readonly kind: SuspectKind
  /** Prompt part, or digest of the request. */
  readonly id: string
  readonly crashes: number
  /** Time since the last crash. */
  readonly ageMilliseconds: number
  /** Time until the quarantine ends if there is no other crash. */
  readonly remainingMilliseconds: number
}

export interface CrashEvidenceOptions {
  readonly clock: Clock
  readonly maximumCrashes?: number
  readonly onQuarantined?: (quarantine: Quarantine) => void
  readonly onReleased?: (quarantine: Quarantine) => void
}

/** Crashes that are kept; the oldest that holds no quarantined suspect is dropped first. */
const defaultMaximumCrashes = 200
/** Part of the crashes that suspects which are not quarantined can always use. */
const unquarantinedShare = 0.2
/** Requests with unproven parts come first. */
const maximumRequestsPerObservation = 256
const maximumObservationsPerCrash = 128
/** References of an observation, as in a message, which is 4 MiB long with them. */
const maximumReferences = 131_072
/** Different parts at a crash. The observations that come first have more of them. */
const maximumPartsPerCrash = 16_384
const minimumPartsPerObservation = 512
/** Different parts at all crashes; beyond these the oldest crashes are dropped. */
const maximumParts = 131_072
const maximumSoundParts = 32_768
/** Time after the last crash of a suspect for which its crashes count. */
const lifetimeMilliseconds = 600_000
/** Two observations of one upstream that are at most this far apart are of the same crash; it may be back a second later. */
const sameCrashMilliseconds = 1_000
/** Crashes since its last known completion after which another completion of a part is worth telling. */
const crashesBetweenCompletionNews = 3

export class CrashEvidence {
  private readonly crashes = new Set<Crash>()
  private readonly crashByObservation = new Map<string, Crash>()
  private readonly suspects = new Map<string, CrashSuspect>()
  private readonly soundParts = new SoundParts(maximumSoundParts)
  private decided: ReadonlySet<CrashSuspect> = new Set()
  /** Whether the evidence has changed since the decision. */
  private mustDecide = false
  /** Parts that were in flight at one crash. */
  private readonly singleParts = new Map<string, SinglePart>()
  /** Different parts of each observation, over all of them. */
  private partCount = 0
  private newObservations: CrashObservation[] = []
  private newCompletions: PartCompletion[] = []

  constructor (private readonly options: CrashEvidenceOptions) {}

  /** Whether no crash is known; then there is nothing to refuse, and only completions need be recorded. */
  get isEmpty (): boolean {
    return this.crashes.size === 0
  }

  get hasNews (): boolean {
    return this.newObservations.length + this.newCompletions.length > 0
  }

  get quarantinedCount (): number {
    return this.quarantined.size
  }

  /** Why a request must not be sent; undefined if it may be. */
  quarantineOf ({ service, parts }: Pick<EvidenceRequest, 'service' | 'parts'>, digest: () => string): Quarantine | undefined {
    if (this.quarantined.size === 0) return undefined
    for (const part of parts) {
      const suspect = this.suspects.get(partKey(service, part))
      if (suspect !== undefined && this.quarantined.has(suspect)) return this.describe(suspect)
    }
    const suspect = this.suspects.get(requestKey(service, digest()))
    return suspect !== undefined && this.quarantined.has(suspect) ? this.describe(suspect) : undefined
  }

  /** Whether no upstream is known to have completed a request with one of the parts. */
  hasUnprovenPart ({ service, parts }: Pick<EvidenceRequest, 'service' | 'parts'>): boolean {
    return parts.some((part) => this.soundParts.completedAt(partKey(service, part)) === undefined)
  }

  /**
   * Records a crash that this VM or another one observed. An observation that is
   * known counts again if it comes with further parts: VMs of earlier builds
   * pass it on without most of them.
   */
  recordCrash (observation: CrashObservation): void {
    if (this.isOutdated(observation.at)) return
    const { id, service, at } = observation
    const receivedReferences = countReferences(observation.requests)
    const known = this.crashByObservation.get(id)
    const former = known?.observations.find((kept) => kept.id === id)
    if (former !== undefined && receivedReferences <= former.receivedReferences) return
    const crash = known ?? this.findOrAddCrash(observation)
    if (former === undefined && crash.observations.length >= maximumObservationsPerCrash) return
    if (former !== undefined) crash.observations.splice(crash.observations.indexOf(former), 1)
    const requests = this.selectRequests(observation, crash)
    const kept: KeptObservation = { ...groupRequests(requests), id, at, receivedReferences }
    crash.observations.push(kept)
    this.crashByObservation.set(id, crash)
    this.newObservations.push({ ...observation, requests })
    this.partCount += countParts(kept) - (former === undefined ? 0 : countParts(former))
    for (const digest of kept.digests) this.findOrAddRequest(service, digest).addCrash(crash, [digest])
    for (const { parts, digests } of kept.groups) {
      for (const part of parts) this.addPart(service, part, crash, digests)
    }
    this.mustDecide = true
    this.dropOldCrashes()
  }

  /** Records that an upstream completed a request; `digest` is called only if there are suspects. */
  recordCompletion ({ service, parts }: Pick<EvidenceRequest, 'service' | 'parts'>, digest: () => string): void {
    const at = this.options.clock.monotonic()
    let isCleared = false
    for (const part of parts) isCleared = this.recordPartCompletion({ service, part, at }) || isCleared
    if (this.isEmpty) return
    const request = this.suspects.get(requestKey(service, digest()))
    request?.completed(at)
    if (isCleared || request !== undefined) this.mustDecide = true
  }

  /** Records a completion that another VM reported. */
  recordReportedCompletion (completion: PartCompletion): void {
    const isNew = this.soundParts.completedAt(partKey(completion.service, completion.part)) === undefined
    const key = partKey(completion.service, completion.part)
    const hasSuspect = this.suspects.has(key) || this.singleParts.has(key)
    if (this.recordPartCompletion(completion)) this.mustDecide = true
    if (isNew && !hasSuspect) this.newCompletions.push(completion)
  }

  /** Evidence that was recorded since the last call and that other VMs may not have. */
  takeNews (): EvidenceNews {
    const news = { observations: this.newObservations, completions: this.newCompletions }
    this.newObservations = []
    this.newCompletions = []
    return news
  }

  /** All evidence, for a VM with which a link was made. */
  get all (): EvidenceNews {
    const completions = new Map<string, PartCompletion>()
    const observations: CrashObservation[] = []
    for (const { service, upstream, observations: kept } of this.crashes) {
      for (const observation of kept) {
        observations.push({ id: observation.id, upstream, service, at: observation.at, requests: ungroupRequests(observation) })
        for (const { parts } of observation.groups) {
          for (const part of parts) {
            const key = partKey(service, part)
            const at = this.suspects.get(key)?.completedAt ?? this.soundParts.completedAt(key) ?? -Infinity
            if (at > -Infinity) completions.set(key, { service, part, at })
          }
        }
      }
    }
    return { observations, completions: [...completions.values()] }
  }

  /** Drops crashes that no longer count, and decides if that wasn't asked for since the evidence changed. */
  removeExpired (): void {
    if (this.quarantined.size === 0 && this.isEmpty) return
    const expired = [...this.crashes].filter((crash) => this.isOutdated(this.lastCrashAtOf(crash)))
    if (expired.length === 0) return
    for (const crash of expired) this.drop(crash)
    this.decide()
  }

  private selectRequests ({ id, service, requests }: CrashObservation, { observations }: Crash): readonly BrokenRequest[] {
    const keptParts = observations.reduce((sum, observation) => sum + countParts(observation), 0)
    return selectRequests(requests, {
      limits: { requests: maximumRequestsPerObservation, references: maximumReferences, parts: Math.max(minimumPartsPerObservation, Math.floor((maximumPartsPerCrash - keptParts) / 2)) },
      salt: id,
      isProven: (part) => this.soundParts.completedAt(partKey(service, part)) !== undefined,
      rankOf: (part) => this.rankOf(partKey(service, part))
    })
  }

  /** Parts that were in flight at an earlier crash come first, then those that no upstream has completed. */
  private rankOf (key: string): number {
    const isSuspect = this.suspects.has(key) || this.singleParts.has(key)
    return Number(isSuspect) + Number(this.soundParts.completedAt(key) === undefined)
  }

  /** True if the completion clears the part of crashes. */
  private recordPartCompletion (completion: PartCompletion): boolean {
    const key = partKey(completion.service, completion.part)
    const isNewlySound = !this.isEmpty && this.singleParts.has(key) && this.soundParts.completedAt(key) === undefined
    this.soundParts.record(key, completion.at)
    if (isNewlySound) this.newCompletions.push(completion)
    const suspect = this.suspects.get(key)
    if (suspect === undefined || completion.at <= suspect.completedAt) return false
    const clearedCrashes = suspect.tally.crashes.filter(({ at }) => at < completion.at).length
    suspect.completed(completion.at)
    if (!suspect.isCompletionKnown || clearedCrashes >= crashesBetweenCompletionNews) this.tellCompletion(suspect)
    return clearedCrashes > 0
  }

  private tellCompletion (suspect: CrashSuspect): void {
    suspect.isCompletionKnown = true
    this.newCompletions.push({ service: suspect.service, part: suspect.id as PromptPartId, at: suspect.completedAt })
  }

  /** Decided when asked for: after a crash of many upstreams, observations come faster than requests. */
  private get quarantined (): ReadonlySet<CrashSuspect> {
    if (this.mustDecide) this.decide()
    return this.decided
  }

  private decide (): void {
    const before = this.decided
    this.mustDecide = false
    this.decided = chooseQuarantined(this.suspects.values(), this.crashes)
    for (const suspect of this.decided) {
      if (!before.has(suspect)) this.options.onQuarantined?.(this.describe(suspect))
    }
    for (const suspect of before) {
      if (!this.decided.has(suspect)) this.options.onReleased?.(this.describe(suspect))
    }
  }

  private describe (suspect: CrashSuspect): Quarantine {
    const ageMilliseconds = this.options.clock.monotonic() - suspect.lastCrashAt
    return { kind: suspect.kind, id: suspect.id, crashes: suspect.crashCount, ageMilliseconds, remainingMilliseconds: lifetimeMilliseconds - ageMilliseconds }
  }

  private findOrAddCrash ({ service, upstream, at }: CrashObservation): Crash {
    for (const crash of this.crashes) {
      if (crash.upstream === upstream && crash.service === service && Math.abs(crash.at - at) <= sameCrashMilliseconds) return crash
    }
    const crash: Crash = { service, upstream, at, observations: [] }
    this.crashes.add(crash)
    return crash
  }

  private findOrAddRequest (service: ServiceName, digest: string): CrashSuspect {
    const key = requestKey(service, digest)
    return this.suspects.get(key) ?? this.add(key, new CrashSuspect({ kind: SuspectKind.Request, service, id: digest }))
  }

  /** Records that a part was in flight at a crash. It becomes a suspect at the second one. */
  private addPart (service: ServiceName, part: PromptPartId, crash: Crash, digests: readonly string[]): void {
    const key = partKey(service, part)
    const suspect = this.suspects.get(key)
    if (suspect !== undefined) return suspect.addCrash(crash, digests)
    const single = this.singleParts.get(key)
    if (single === undefined || single.crash === crash) {
      this.singleParts.set(key, { crash, digests: single === undefined ? [digests] : [...single.digests, digests] })
      const completedAt = this.soundParts.completedAt(key)
      if (single === undefined && completedAt !== undefined) this.newCompletions.push({ service, part, at: completedAt })
      return
    }
    this.singleParts.delete(key)
    const added = this.add(key, new CrashSuspect({ kind: SuspectKind.Part, service, id: part }))
    for (const list of single.digests) added.addCrash(single.crash, list)
    added.addCrash(crash, digests)
    const completedAt = this.soundParts.completedAt(key)
    if (completedAt === undefined) return
    added.completed(completedAt)
    this.tellCompletion(added)
  }

  private add (key: string, suspect: CrashSuspect): CrashSuspect {
    this.suspects.set(key, suspect)
    return suspect
  }

  private isOutdated (at: number): boolean {
    return at <= this.options.clock.monotonic() - lifetimeMilliseconds
  }

  /** A crash of a quarantined suspect counts as long as the last one. */
  private lastCrashAtOf (crash: Crash): number {
    let lastCrashAt = crash.at
    for (const suspect of this.quarantined) {
      if (suspect.hasCrash(crash)) lastCrashAt = Math.max(lastCrashAt, suspect.lastCrashAt)
    }
    return lastCrashAt
  }

  private dropOldCrashes (): void {
    const { maximumCrashes = defaultMaximumCrashes } = this.options
    while (this.crashes.size > maximumCrashes || (this.crashes.size > 1 && this.partCount > maximumParts)) {
      const { quarantined } = this
      const isHeld = (crash: Crash): boolean => [...quarantined].some((suspect) => suspect.hasCrash(crash))
      const free = [...this.crashes].filter((crash) => !isHeld(crash)).sort((first, second) => first.at - second.at)
      const oldest = free.length > maximumCrashes * unquarantinedShare ? free[0] : this.oldestCrashOfLargestQuarantine ?? free[0]
      if (oldest === undefined) return
      this.drop(oldest)
    }
  }

  /** Its suspect needs this crash least. */
  private get oldestCrashOfLargestQuarantine (): Crash | undefined {
    const [largest] = [...this.quarantined].sort((first, second) => second.crashCount - first.crashCount)
    return largest?.tally.crashes[0]
  }

  private drop (crash: Crash): void {
    this.crashes.delete(crash)
    for (const observation of crash.observations) {
      this.crashByObservation.delete(observation.id)
      this.partCount -= countParts(observation)
      for (const digest of observation.digests) this.dropFrom(requestKey(crash.service, digest), crash)
      for (const { parts } of observation.groups) {
        for (const part of parts) this.dropFrom(partKey(crash.service, part), crash)
      }
    }
  }

  private dropFrom (key: string, crash: Crash): void {
    if (this.singleParts.get(key)?.crash === crash) this.singleParts.delete(key)
    const suspect = this.suspects.get(key)
    if (suspect === undefined) return
    suspect.removeCrash(crash)
    if (suspect.crashCount === 0) this.suspects.delete(key)
  }
}

const countParts = ({ groups }: KeptObservation): number => groups.reduce((sum, { parts }) => sum + parts.length, 0)

const partKey = (service: ServiceName, part: PromptPartId): string => `${service} part ${part}`

const requestKey = (service: ServiceName, digest: string): string => `${service} request ${digest}`
