/**
 * Finds requests that crash the upstreams that run them. Every request that
 * was running on an upstream when it died becomes a suspect. A suspect is
 * convicted after two deaths, or after three if another suspect shares them
 * all, and is refused until the suspicion expires. Deaths of a convicted
 * request no longer count towards the conviction of requests with fewer deaths.
 * Callers of this class should send suspects to different upstreams, so that two
 * rarely share a death.
 */

import type { Clock, TeamId, UpstreamId } from '@cuminvale/common'
import type { RequestDigest } from './requestDigest.js'

/** Death of an upstream, observed by this VM or reported by a peer. */
export interface UpstreamDeath {
  readonly upstream: UpstreamId
  /** Monotonic time of this VM in milliseconds. */
  readonly at: number
}

export interface SuspicionRecord {
  readonly digest: RequestDigest
  readonly team: TeamId
  readonly deaths: readonly UpstreamDeath[]
}

interface Suspect {
  readonly team: TeamId
  deaths: readonly UpstreamDeath[]
  lastDeathAt: number
  convicted: boolean
}

export const SuspicionKind = {
  Clear: 'clear',
  /** The request was running on an upstream that died. It may run again, on an upstream that runs no other suspect. */
  Suspected: 'suspected',
  Convicted: 'convicted'
} as const

/** `diedOn` lists the upstreams that died while they ran the suspect, without the deaths attributed to convicted requests. */
export type Suspicion =
  | { readonly kind: typeof SuspicionKind.Clear }
  | { readonly kind: typeof SuspicionKind.Suspected, readonly diedOn: readonly UpstreamId[] }
  | { readonly kind: typeof SuspicionKind.Convicted, readonly remainingMilliseconds: number }

export interface CrashSuspectsOptions {
  readonly clock: Clock
  readonly capacity: number
}

const convictionDeathCount = 2
/** If another suspect shares every death, a third death is needed to tell the cause; if it shares that too, both are convicted. */
const sharedConvictionDeathCount = 3
const suspicionLifetimeMilliseconds = 600_000
/** Two reports about one upstream that are at most this far apart describe the same death. */
const sameDeathWindowMilliseconds = 3_000

const isSameDeath = (first: UpstreamDeath, second: UpstreamDeath): boolean =>
  first.upstream === second.upstream && Math.abs(first.at - second.at) <= sameDeathWindowMilliseconds

const includesDeath = (deaths: readonly UpstreamDeath[], death: UpstreamDeath): boolean =>
  deaths.some((known) => isSameDeath(known, death))

/** Whether the second suspect shares every death of the first. */
const sharesAllDeaths = (first: Suspect, second: Suspect): boolean =>
  first.deaths.every((death) => includesDeath(second.deaths, death))

export class CrashSuspects {
  private readonly suspects = new Map<RequestDigest, Suspect>()
  private readonly running = new Map<RequestDigest, UpstreamId>()
  /** Deaths attributed to convicted requests. */
  private attributedDeaths: readonly UpstreamDeath[] = []

  constructor (private readonly options: CrashSuspectsOptions) {}

  /** Whether there are no suspects; code that uses this class then need not compute digests. */
  get isEmpty (): boolean {
    return this.suspects.size === 0
  }

  suspicionOf (digest: RequestDigest): Suspicion {
    const suspect = this.suspects.get(digest)
    if (suspect === undefined) return { kind: SuspicionKind.Clear }
    const remainingMilliseconds = suspect.lastDeathAt + suspicionLifetimeMilliseconds - this.options.clock.monotonic()
    if (remainingMilliseconds <= 0) return { kind: SuspicionKind.Clear }
    if (suspect.convicted) return { kind: SuspicionKind.Convicted, remainingMilliseconds }
    const unattributed = suspect.deaths.filter((death) => !includesDeath(this.attributedDeaths, death))
    if (unattributed.length === 0) return { kind: SuspicionKind.Clear }
    return { kind: SuspicionKind.Suspected, diedOn: unattributed.map(({ upstream }) => upstream) }
  }

  /** Whether an attempt of the suspect is already running; a second attempt could crash a second upstream. */
  isRunning (digest: RequestDigest): boolean {
    return this.running.has(digest)
  }

  /** Upstreams that are running a suspect, and should not be sent a second one. */
  upstreamsWithSuspects (): ReadonlySet<UpstreamId> {
    return new Set(this.running.values())
  }

  /** Records which upstream runs a suspect. */
  started (digest: RequestDigest, upstream: UpstreamId): void {
    if (this.suspects.has(digest)) this.running.set(digest, upstream)
  }

  /** Records that a request ended without the death of its upstream. */
  ended (digest: RequestDigest): void {
    this.running.delete(digest)
  }

  /** Records that an upstream has run a request to completion, and clears its suspicion unless it is convicted. */
  completed (digest: RequestDigest): void {
    this.running.delete(digest)
    const suspect = this.suspects.get(digest)
    if (suspect === undefined || suspect.convicted) return
    this.suspects.delete(digest)
    this.updateConvictions()
  }

  /** Records the death of an upstream against a request that was running on it; returns the deaths to report to peers. */
  upstreamDied (digest: RequestDigest, team: TeamId, upstream: UpstreamId): readonly UpstreamDeath[] {
    this.running.delete(digest)
    return this.recordDeath(digest, team, { upstream, at: this.options.clock.monotonic() })
  }

  /** Suspicions whose last death is recent, to be reported to peers again. */
  recentSuspicions (withinMilliseconds: number): ReadonlyArray<SuspicionRecord> {
    const oldest = this.options.clock.monotonic() - withinMilliseconds
    return [...this.suspects]
      .filter(([, suspect]) => suspect.lastDeathAt >= oldest)
      .map(([digest, { team, deaths }]) => ({ digest, team, deaths }))
  }

  /** Merges the deaths that a peer reported for a request. */
  reportedByPeer (digest: RequestDigest, team: TeamId, deaths: readonly UpstreamDeath[]): void {
    for (const death of deaths) this.recordDeath(digest, team, death)
  }

  /** Removes suspicions that have expired. */
  removeExpired (): void {
    const oldest = this.options.clock.monotonic() - suspicionLifetimeMilliseconds
    for (const [digest, suspect] of this.suspects) {
      if (suspect.lastDeathAt <= oldest) this.suspects.delete(digest)
    }
    this.updateConvictions()
  }

  private recordDeath (digest: RequestDigest, team: TeamId, death: UpstreamDeath): readonly UpstreamDeath[] {
    const suspect = this.findOrAddSuspect(digest, team)
    if (suspect === undefined) return []
    if (includesDeath(suspect.deaths, death)) return suspect.deaths
    suspect.deaths = [...suspect.deaths, death]
    suspect.lastDeathAt = Math.max(suspect.lastDeathAt, death.at)
    if (suspect.deaths.length >= convictionDeathCount) this.updateConvictions()
    return suspect.deaths
  }

  /** Recomputes from all known deaths which suspects are convicted. */
  private updateConvictions (): void {
    const candidates = [...this.suspects.values()]
      .filter(({ deaths }) => deaths.length >= convictionDeathCount)
      .sort((first, second) => second.deaths.length - first.deaths.length)
    const convictedSuspects: Suspect[] = []
    for (const suspect of this.suspects.values()) suspect.convicted = false
    for (const candidate of candidates) {
      candidate.convicted = this.shouldConvict(candidate, candidates, convictedSuspects)
      if (candidate.convicted) convictedSuspects.push(candidate)
    }
    this.attributedDeaths = convictedSuspects.flatMap(({ deaths }) => deaths)
  }

  private shouldConvict (candidate: Suspect, candidates: readonly Suspect[], convictedSuspects: readonly Suspect[]): boolean {
    const convictedOfMoreDeaths = convictedSuspects.filter(({ deaths }) => deaths.length > candidate.deaths.length)
    const unattributed = candidate.deaths.filter((death) => !convictedOfMoreDeaths.some(({ deaths }) => includesDeath(deaths, death)))
    if (unattributed.length < convictionDeathCount) return false
    const hasSharingSuspect = candidates.some((other) => other !== candidate && sharesAllDeaths(candidate, other))
    return !hasSharingSuspect || unattributed.length >= sharedConvictionDeathCount
  }

  /** A full table takes no new suspects and evicts none: evicting a convicted one would let it crash upstreams again. */
  private findOrAddSuspect (digest: RequestDigest, team: TeamId): Suspect | undefined {
    const existing = this.suspects.get(digest)
    if (existing !== undefined) return existing
    if (this.suspects.size >= this.options.capacity) return undefined
    const suspect: Suspect = { team, deaths: [], lastDeathAt: 0, convicted: false }
    this.suspects.set(digest, suspect)
    return suspect
  }
}
