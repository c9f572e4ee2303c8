/**
 * What may have crashed upstreams, a request or a part of prompts, with the
 * crashes at which it was in flight.
 */

import type { UpstreamId } from '@cuminvale/common'
import type { GroupedRequests } from './crashRequests.js'
import type { ServiceName } from './types.js'

export const SuspectKind = { Request: 'request', Part: 'part' } as const
export type SuspectKind = typeof SuspectKind[keyof typeof SuspectKind]

/** What is kept of an observation of a VM. */
export interface KeptObservation extends GroupedRequests {
  /** Unique among all VMs. */
  readonly id: string
  readonly at: number
  /** Parts over all requests, as they came. */
  readonly receivedReferences: number
}

export interface Crash {
  readonly service: ServiceName
  readonly upstream: UpstreamId
  /** Monotonic time of the first observation. */
  readonly at: number
  readonly observations: KeptObservation[]
}

/** A part that was in flight at one crash only, as most are: no suspect yet. */
export interface SinglePart {
  readonly crash: Crash
  /** Digests of the requests with it, by observation. */
  readonly digests: ReadonlyArray<readonly string[]>
}

/** The crashes that count against a suspect: those since the last completion, which clears it of the earlier ones. */
export interface CrashTally {
  /** Oldest first. */
  readonly crashes: readonly Crash[]
  /** Number of crashes at which a request was in flight that no earlier crash had broken off. */
  readonly independentCrashes: number
  /** Number of different requests at the crashes. */
  readonly requestCount: number
}

/** Tallies of one decision. Parts of the same requests, as the first ones of many prompts, have the same. */
export class TallyCache {
  private readonly numbers = new Map<readonly string[], number>()
  private readonly tallies = new Map<string, CrashTally>()

  find (lists: ReadonlyArray<readonly string[]>, count: () => CrashTally): CrashTally {
    const key = lists.map((list) => this.numberOf(list)).join()
    const tally = this.tallies.get(key) ?? count()
    this.tallies.set(key, tally)
    return tally
  }

  private numberOf (list: readonly string[]): number {
    const number = this.numbers.get(list) ?? this.numbers.size
    this.numbers.set(list, number)
    return number
  }
}

export class CrashSuspect {
  readonly kind: SuspectKind
  readonly service: ServiceName
  /** Prompt part, or digest of the request. */
  readonly id: string
  /** Whether other VMs were told that an upstream completed a request with this part. */
  isCompletionKnown = false
  /** Monotonic time of the last crash at which it was in flight. */
  lastCrashAt = -Infinity
  private lastCompletedAt = -Infinity
  /** Digests of the requests with it that were in flight, by crash; the lists are shared with other parts of the same requests. */
  private readonly digestsByCrash = new Map<Crash, ReadonlyArray<readonly string[]>>()
  /** Kept until the evidence changes, since each decision reads it. */
  private currentTally: CrashTally | undefined

  constructor ({ kind, service, id }: Pick<CrashSuspect, 'kind' | 'service' | 'id'>) {
    this.kind = kind
    this.service = service
    this.id = id
  }

  /** Last time at which an upstream completed a request with it. */
  get completedAt (): number {
    return this.lastCompletedAt
  }

  get hasCompleted (): boolean {
    return this.lastCompletedAt > -Infinity
  }

  get crashCount (): number {
    return this.digestsByCrash.size
  }

  get tally (): CrashTally {
    this.currentTally ??= this.countCrashes(this.countedCrashes)
    return this.currentTally
  }

  /** Takes the tally from other suspects with the same evidence. */
  shareTally (cache: TallyCache): void {
    if (this.currentTally !== undefined) return
    const crashes = this.countedCrashes
    this.currentTally = cache.find(crashes.flatMap((crash) => this.digestsByCrash.get(crash) ?? []), () => this.countCrashes(crashes))
  }

  /** Whether the crash counts against the suspect. */
  countsCrash (crash: Crash): boolean {
    return crash.at > this.lastCompletedAt && this.digestsByCrash.has(crash)
  }

  hasCrash (crash: Crash): boolean {
    return this.digestsByCrash.has(crash)
  }

  completed (at: number): void {
    this.lastCompletedAt = Math.max(this.lastCompletedAt, at)
    this.currentTally = undefined
  }

  addCrash (crash: Crash, digests: readonly string[]): void {
    this.digestsByCrash.set(crash, [...this.digestsByCrash.get(crash) ?? [], digests])
    this.lastCrashAt = Math.max(this.lastCrashAt, crash.at)
    this.currentTally = undefined
  }

  removeCrash (crash: Crash): void {
    this.digestsByCrash.delete(crash)
    this.currentTally = undefined
  }

  /** Oldest first. */
  private get countedCrashes (): readonly Crash[] {
    return [...this.digestsByCrash.keys()].filter((crash) => this.countsCrash(crash)).sort((first, second) => first.at - second.at)
  }

  private countCrashes (crashes: readonly Crash[]): CrashTally {
    const digests = new Set<string>()
    let independentCrashes = 0
    for (const crash of crashes) {
      const countBefore = digests.size
      for (const list of this.digestsByCrash.get(crash) ?? []) for (const digest of list) digests.add(digest)
      if (digests.size > countBefore) independentCrashes += 1
    }
    return { crashes, independentCrashes, requestCount: digests.size }
  }
}
