/**
 * Index of the prefixes that each upstream probably has cached, from its cache
 * events and from the requests sent to it. Events arrive late and with gaps,
 * so an entry is an estimate. Stale entries are ignored, and the oldest are
 * evicted once an upstream's share of the capacity is used up.
 */

import type { Clock, UpstreamId } from '@cuminvale/common'
import type { PrefixHasher } from './prefixHashers.js'

export const PrefixEventKind = { Stored: 'stored', Removed: 'removed', Cleared: 'cleared' } as const
export type PrefixEventKind = typeof PrefixEventKind[keyof typeof PrefixEventKind]

export interface PrefixEvent {
  readonly sequence: number
  readonly kind: PrefixEventKind
  readonly prefix: string
}

export interface PrefixCacheIndexOptions {
  readonly clock: Clock
  readonly hasher: PrefixHasher
  /** Maximum number of prefixes of all upstreams together. */
  readonly capacity: number
}

interface KeyedPrefix {
  readonly key: number
  readonly tokens: number
}

interface UpstreamPrefixes {
  /** Monotonic time at which each prefix was last sent or reported, oldest first. */
  readonly lastSeenAt: Map<number, number>
  sequence: number
}

const maximumCachedPrompts = 16
const staleAfterMilliseconds = 600_000
const digestCharacters = 8
const base64GroupCharacters = 4
const unsigned24BitRange = 2 ** 24

/** The first 48 bits of a digest as a number, which takes a quarter of the memory of a string. */
const digestKey = (digest: string): number => {
  const bytes = Buffer.from(digest.slice(0, digestCharacters), 'base64url')
  if (bytes.length < digestCharacters * 3 / base64GroupCharacters) return 0
  return bytes.readUIntBE(0, 3) * unsigned24BitRange + bytes.readUIntBE(3, 3)
}

export class PrefixCacheIndex {
  private readonly upstreams = new Map<UpstreamId, UpstreamPrefixes>()
  private readonly prefixesByPrompt = new Map<string, readonly KeyedPrefix[]>()
  gaps = 0

  constructor (private readonly options: PrefixCacheIndexOptions) {}

  /** Number of prefixes recorded for all upstreams together. */
  get size (): number {
    let size = 0
    for (const { lastSeenAt } of this.upstreams.values()) size += lastSeenAt.size
    return size
  }

  /** Sequence number of the upstream's last applied event. */
  lastEventSequence (upstream: UpstreamId): number {
    return this.upstreams.get(upstream)?.sequence ?? 0
  }

  /** Records the prompt's prefixes, since the upstream will have them cached once it has run the request. */
  sent (upstream: UpstreamId, prompt: string): void {
    const known = this.findOrAddPrefixes(upstream)
    for (const { key } of this.prefixesOfPrompt(prompt)) this.markSeen(known, key)
  }

  applyEvents (upstream: UpstreamId, events: readonly PrefixEvent[]): void {
    const known = this.findOrAddPrefixes(upstream)
    for (const event of events) {
      if (event.sequence <= known.sequence) continue
      if (known.sequence > 0 && event.sequence > known.sequence + 1) this.gaps += 1
      known.sequence = event.sequence
      this.apply(known, event)
    }
  }

  forget (upstream: UpstreamId): void {
    this.upstreams.delete(upstream)
  }

  /** Tokens of the prompt that the upstream probably has cached. */
  cachedTokens (upstream: UpstreamId, prompt: string): number {
    const known = this.upstreams.get(upstream)
    if (known === undefined || known.lastSeenAt.size === 0) return 0
    const freshAfter = this.options.clock.monotonic() - staleAfterMilliseconds
    const prefixes = this.prefixesOfPrompt(prompt)
    for (let index = prefixes.length - 1; index >= 0; index -= 1) {
      const prefix = prefixes[index] as KeyedPrefix
      if ((known.lastSeenAt.get(prefix.key) ?? -Infinity) > freshAfter) return prefix.tokens
    }
    return 0
  }

  private apply (known: UpstreamPrefixes, event: PrefixEvent): void {
    if (event.kind === PrefixEventKind.Cleared) known.lastSeenAt.clear()
    else if (event.kind === PrefixEventKind.Removed) known.lastSeenAt.delete(digestKey(event.prefix))
    else this.markSeen(known, digestKey(event.prefix))
  }

  private markSeen (known: UpstreamPrefixes, key: number): void {
    known.lastSeenAt.delete(key)
    known.lastSeenAt.set(key, this.options.clock.monotonic())
    const capacity = Math.max(1, Math.floor(this.options.capacity / this.upstreams.size))
    for (const oldest of known.lastSeenAt.keys()) {
      if (known.lastSeenAt.size <= capacity) return
      known.lastSeenAt.delete(oldest)
    }
  }

  private findOrAddPrefixes (upstream: UpstreamId): UpstreamPrefixes {
    const existing = this.upstreams.get(upstream)
    if (existing !== undefined) return existing
    const added = { lastSeenAt: new Map<number, number>(), sequence: 0 }
    this.upstreams.set(upstream, added)
    return added
  }

  /** The prefixes of the last few prompts are kept, since one choice needs them for each upstream. */
  private prefixesOfPrompt (prompt: string): readonly KeyedPrefix[] {
    const cached = this.prefixesByPrompt.get(prompt)
    if (cached !== undefined) return cached
    const prefixes = this.options.hasher.hashPrefixes(prompt).map(({ digest, tokens }) => ({ key: digestKey(digest), tokens }))
    this.prefixesByPrompt.set(prompt, prefixes)
    const oldest = this.prefixesByPrompt.keys().next().value
    if (this.prefixesByPrompt.size > maximumCachedPrompts && oldest !== undefined) this.prefixesByPrompt.delete(oldest)
    return prefixes
  }
}
