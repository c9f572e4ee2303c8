/**
 * Finds requests that crash the upstreams that run them. Every request that
 * was running on an upstream when it died is a suspect. A suspect with two
 * deaths that no other suspect shares is convicted and refused for a while; its
 * deaths are then explained, which clears the requests that merely ran beside
 * it. Suspects are kept apart, so that two of them rarely share a death.
 */

import type { Clock, TeamId, UpstreamId } from '@cuminvale/common'
import type { RequestDigest } from './requestDigest.js'

/** The death of an upstream, as far as this VM saw or heard of it. */
export interface Death {
  readonly upstream: UpstreamId
  /** Monotonic milliseconds of this VM. */
  readonly at: number
}

export interface SuspicionRecord {
  readonly digest: RequestDigest
  readonly team: TeamId
  readonly deaths: readonly Death[]
}

interface Suspect {
  readonly team: TeamId
  deaths: readonly Death[]
  lastDeathAt: number
  convicted: boolean
}

export const SuspicionKind = {
  Clear: 'clear',
  /** Ran on one upstream that died; runs again apart from other suspects. */
  Suspected: 'suspected',
  Convicted: 'convicted'
} as const

export type Suspicion =
  | { readonly kind: typeof SuspicionKind.Clear }
  | { readonly kind: typeof SuspicionKind.Suspected, readonly diedOn: readonly UpstreamId[] }
  | { readonly kind: typeof SuspicionKind.Convicted, readonly remainingMilliseconds: number }

export interface CrashSuspectsOptions {
  readonly clock: Clock
  readonly capacity: number
}

const deathsBeforeConviction = 2
/** Where two suspects died together each time, only a third death tells which of them is to blame. */
const deathsDespiteTie = 3
const suspicionMilliseconds = 600_000
/** Two reports about one upstream within this span are about the same death. */
const sameDeathMilliseconds = 3_000

const isSameDeath = (first: Death, second: Death): boolean =>
  first.upstream === second.upstream && Math.abs(first.at - second.at) <= sameDeathMilliseconds

const includesDeath = (deaths: readonly Death[], death: Death): boolean =>
  deaths.some((known) => isSameDeath(known, death))

/** Whether every death of the first is also one of the second. */
const isCoveredBy = (first: Suspect, second: Suspect): boolean =>
  first.deaths.every((death) => includesDeath(second.deaths, death))

export class CrashSuspects {
  private readonly suspects = new Map<RequestDigest, Suspect>()
  private readonly running = new Map<RequestDigest, UpstreamId>()
  /** Deaths that a convicted request accounts for. */
  private explained: readonly Death[] = []

  constructor (private readonly options: CrashSuspectsOptions) {}

  /** Whether nothing is suspected, so that digests need not be computed. */
  get isEmpty (): boolean {
    return this.suspects.size === 0
  }

  suspicionOf (digest: RequestDigest): Suspicion {
    const suspect = this.suspects.get(digest)
    if (suspect === undefined) return { kind: SuspicionKind.Clear }
    const remainingMilliseconds = suspect.lastDeathAt + suspicionMilliseconds - this.options.clock.monotonic()
    if (remainingMilliseconds <= 0) return { kind: SuspicionKind.Clear }
    if (suspect.convicted) return { kind: SuspicionKind.Convicted, remainingMilliseconds }
    const unexplained = suspect.deaths.filter((death) => !includesDeath(this.explained, death))
    if (unexplained.length === 0) return { kind: SuspicionKind.Clear }
    return { kind: SuspicionKind.Suspected, diedOn: unexplained.map(({ upstream }) => upstream) }
  }

  /** Whether a copy of the suspect is running already; a second one could kill a second upstream. */
  isRunning (digest: RequestDigest): boolean {
    return this.running.has(digest)
  }

  /** Upstreams that run a suspect now, and are to be spared a second one. */
  upstreamsWithSuspects (): ReadonlySet<UpstreamId> {
    return new Set(this.running.values())
  }

  /** Notes where a suspect runs. */
  began (digest: RequestDigest, upstream: UpstreamId): void {
    if (this.suspects.has(digest)) this.running.set(digest, upstream)
  }

  /** Notes that a request came to an end without a death. */
  ended (digest: RequestDigest): void {
    this.running.delete(digest)
  }

  /** Clears a request that an upstream has run to its end. */
  survived (digest: RequestDigest): void {
    this.running.delete(digest)
    const suspect = this.suspects.get(digest)
    if (suspect === undefined || suspect.convicted) return
    this.suspects.delete(digest)
    this.convict()
  }

  /** Blames a request that was running on an upstream when it died; returns the deaths to tell peers of. */
  died (digest: RequestDigest, team: TeamId, upstream: UpstreamId): readonly Death[] {
    this.running.delete(digest)
    return this.blame(digest, team, { upstream, at: this.options.clock.monotonic() })
  }

  /** Suspicions whose last death is recent, to be told again. */
  recent (withinMilliseconds: number): ReadonlyArray<SuspicionRecord> {
    const oldest = this.options.clock.monotonic() - withinMilliseconds
    return [...this.suspects]
      .filter(([, suspect]) => suspect.lastDeathAt >= oldest)
      .map(([digest, { team, deaths }]) => ({ digest, team, deaths }))
  }

  /** Adopts what a peer knows of a suspect. */
  heard (digest: RequestDigest, team: TeamId, deaths: readonly Death[]): void {
    for (const death of deaths) this.blame(digest, team, death)
  }

  /** Forgets suspicions that have run out. */
  forgetOld (): void {
    const oldest = this.options.clock.monotonic() - suspicionMilliseconds
    for (const [digest, suspect] of this.suspects) {
      if (suspect.lastDeathAt <= oldest) this.suspects.delete(digest)
    }
    this.convict()
  }

  private blame (digest: RequestDigest, team: TeamId, death: Death): readonly Death[] {
    const suspect = this.suspectFor(digest, team)
    if (suspect === undefined) return []
    if (includesDeath(suspect.deaths, death)) return suspect.deaths
    suspect.deaths = [...suspect.deaths, death]
    suspect.lastDeathAt = Math.max(suspect.lastDeathAt, death.at)
    if (suspect.deaths.length >= deathsBeforeConviction) this.convict()
    return suspect.deaths
  }

  /** Works out anew, from all deaths known, which suspects are to blame for them. */
  private convict (): void {
    const candidates = [...this.suspects.values()]
      .filter(({ deaths }) => deaths.length >= deathsBeforeConviction)
      .sort((first, second) => second.deaths.length - first.deaths.length)
    const convicts: Suspect[] = []
    for (const suspect of this.suspects.values()) suspect.convicted = false
    for (const candidate of candidates) {
      candidate.convicted = this.isToBlame(candidate, candidates, convicts)
      if (candidate.convicted) convicts.push(candidate)
    }
    this.explained = convicts.flatMap(({ deaths }) => deaths)
  }

  private isToBlame (candidate: Suspect, candidates: readonly Suspect[], convicts: readonly Suspect[]): boolean {
    const worse = convicts.filter(({ deaths }) => deaths.length > candidate.deaths.length)
    const unexplained = candidate.deaths.filter((death) => !worse.some(({ deaths }) => includesDeath(deaths, death)))
    if (unexplained.length < deathsBeforeConviction) return false
    const isTied = candidates.some((other) => other !== candidate && isCoveredBy(candidate, other))
    return !isTied || unexplained.length >= deathsDespiteTie
  }

  /** A full table takes no new suspects: forgetting a convicted one would let it kill again. */
  private suspectFor (digest: RequestDigest, team: TeamId): Suspect | undefined {
    const existing = this.suspects.get(digest)
    if (existing !== undefined) return existing
    if (this.suspects.size >= this.options.capacity) return undefined
    const suspect: Suspect = { team, deaths: [], lastDeathAt: 0, convicted: false }
    this.suspects.set(digest, suspect)
    return suspect
  }
}
