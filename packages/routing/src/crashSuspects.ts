/**
 * Finds requests that crash the upstreams that run them. Every request that
 * was running on an upstream when it died is a suspect. A suspect with two
 * unexplained deaths is convicted and refused for a while; its deaths are then
 * explained, which clears the requests that merely ran beside it. Suspects are
 * kept apart, so that two of them rarely share a death.
 */

import type { Clock, TeamId, UpstreamId } from '@cuminvale/common'
import type { RequestDigest } from './requestDigest.js'

/** The death of an upstream, as far as this VM saw or heard of it. */
export interface Death {
  readonly upstream: UpstreamId
  /** Monotonic milliseconds of this VM. */
  readonly at: number
}

interface Suspect {
  readonly team: TeamId
  deaths: readonly Death[]
  convictedUntil: number
  lastDeathAt: number
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
const convictionMilliseconds = 600_000
const suspicionMilliseconds = 600_000
/** Two reports about one upstream within this span are about the same death. */
const sameDeathMilliseconds = 3_000

const isSameDeath = (first: Death, second: Death): boolean =>
  first.upstream === second.upstream && Math.abs(first.at - second.at) <= sameDeathMilliseconds

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
    if (suspect === undefined || this.isOver(suspect)) return { kind: SuspicionKind.Clear }
    const remainingMilliseconds = suspect.convictedUntil - this.options.clock.monotonic()
    if (remainingMilliseconds > 0) return { kind: SuspicionKind.Convicted, remainingMilliseconds }
    if (suspect.deaths.length === 0) return { kind: SuspicionKind.Clear }
    return { kind: SuspicionKind.Suspected, diedOn: suspect.deaths.map(({ upstream }) => upstream) }
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
    if (suspect !== undefined && suspect.convictedUntil === 0) this.suspects.delete(digest)
  }

  /** Blames a request that was running on an upstream when it died; returns the deaths to tell peers of. */
  died (digest: RequestDigest, team: TeamId, upstream: UpstreamId): readonly Death[] {
    this.running.delete(digest)
    return this.blame(digest, team, { upstream, at: this.options.clock.monotonic() })
  }

  /** Adopts what a peer knows of a suspect. */
  heard (digest: RequestDigest, team: TeamId, deaths: readonly Death[]): void {
    for (const death of deaths) this.blame(digest, team, death)
  }

  /** Forgets suspicions that have run out. */
  forgetOld (): void {
    for (const [digest, suspect] of this.suspects) {
      if (this.isOver(suspect)) this.suspects.delete(digest)
    }
    const oldest = this.options.clock.monotonic() - suspicionMilliseconds
    this.explained = this.explained.filter((death) => death.at > oldest)
  }

  private blame (digest: RequestDigest, team: TeamId, death: Death): readonly Death[] {
    const isExplained = this.explained.some((known) => isSameDeath(known, death))
    const isConvicted = (this.suspects.get(digest)?.convictedUntil ?? 0) > 0
    if (isExplained && !isConvicted) return []
    const suspect = this.suspectFor(digest, team)
    if (suspect === undefined) return []
    if (!suspect.deaths.some((known) => isSameDeath(known, death))) {
      suspect.deaths = [...suspect.deaths, death]
      suspect.lastDeathAt = Math.max(suspect.lastDeathAt, death.at)
    }
    if (suspect.deaths.length >= deathsBeforeConviction) this.convict(digest, suspect)
    return suspect.deaths
  }

  private convict (digest: RequestDigest, suspect: Suspect): void {
    suspect.convictedUntil = this.options.clock.monotonic() + convictionMilliseconds
    this.explained = [...this.explained, ...suspect.deaths]
    for (const [other, record] of this.suspects) {
      if (other !== digest && record.convictedUntil === 0) this.clearExplained(other, record, suspect.deaths)
    }
  }

  private clearExplained (digest: RequestDigest, record: Suspect, explained: readonly Death[]): void {
    record.deaths = record.deaths.filter((death) => !explained.some((known) => isSameDeath(known, death)))
    if (record.deaths.length === 0) this.suspects.delete(digest)
  }

  /** A full table takes no new suspects: forgetting a convicted one would let it kill again. */
  private suspectFor (digest: RequestDigest, team: TeamId): Suspect | undefined {
    const existing = this.suspects.get(digest)
    if (existing !== undefined) return existing
    if (this.suspects.size >= this.options.capacity) return undefined
    const suspect: Suspect = { team, deaths: [], convictedUntil: 0, lastDeathAt: 0 }
    this.suspects.set(digest, suspect)
    return suspect
  }

  private isOver (suspect: Suspect): boolean {
    const now = this.options.clock.monotonic()
    if (suspect.convictedUntil > 0) return suspect.convictedUntil <= now
    return suspect.lastDeathAt + suspicionMilliseconds <= now
  }
}
