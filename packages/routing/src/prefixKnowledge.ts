/**
 * Index of the prefixes that each upstream probably has cached, from its cache
 * events and from the requests sent to it. Events arrive late and with gaps,
 * so an entry is an estimate. Stale entries are ignored, and the oldest are
 * evicted once an upstream's share of the capacity is used up.
 */

import type { Clock, UpstreamId } from '@cuminvale/common'
import type { PrefixForm } from './prefixForms.js'

export const PrefixEventKind = { Stored: 'stored', Removed: 'removed', Cleared: 'cleared' } as const
export type PrefixEventKind = typeof PrefixEventKind[keyof typeof PrefixEventKind]

export interface PrefixEvent {
  readonly sequence: number
  readonly kind: PrefixEventKind
  readonly prefix: string
}

export interface PrefixKnowledgeOptions {
  readonly clock: Clock
  readonly form: PrefixForm
  /** Maximum number of prefixes of all upstreams together. */
  readonly capacity: number
}

interface KeyedMark {
  readonly key: number
  readonly tokens: number
}

interface UpstreamPrefixes {
  /** Monotonic time at which each prefix was last sent or reported, oldest first. */
  readonly seenAt: Map<number, number>
  sequence: number
}

const maximumPromptsKept = 16
const staleMilliseconds = 600_000
const digestCharacters = 8
const charactersPerLimb = 4
const limbRange = 2 ** 24

/** The first 48 bits of a digest as a number, which takes a quarter of the memory of a string. */
const keyOf = (digest: string): number => {
  const bytes = Buffer.from(digest.slice(0, digestCharacters), 'base64url')
  if (bytes.length < digestCharacters * 3 / charactersPerLimb) return 0
  return bytes.readUIntBE(0, 3) * limbRange + bytes.readUIntBE(3, 3)
}

export class PrefixKnowledge {
  private readonly upstreams = new Map<UpstreamId, UpstreamPrefixes>()
  private readonly marksByPrompt = new Map<string, readonly KeyedMark[]>()
  gaps = 0

  constructor (private readonly options: PrefixKnowledgeOptions) {}

  /** Number of prefixes recorded for all upstreams together. */
  get size (): number {
    let size = 0
    for (const { seenAt } of this.upstreams.values()) size += seenAt.size
    return size
  }

  /** Sequence number of the upstream's last applied event. */
  lastSequence (upstream: UpstreamId): number {
    return this.upstreams.get(upstream)?.sequence ?? 0
  }

  /** Records the prompt's prefixes, since the upstream will have them cached once it has run the request. */
  sent (upstream: UpstreamId, prompt: string): void {
    const held = this.prefixesOf(upstream)
    for (const { key } of this.marksOf(prompt)) this.see(held, key)
  }

  observe (upstream: UpstreamId, events: readonly PrefixEvent[]): void {
    const held = this.prefixesOf(upstream)
    for (const event of events) {
      if (event.sequence <= held.sequence) continue
      if (held.sequence > 0 && event.sequence > held.sequence + 1) this.gaps += 1
      held.sequence = event.sequence
      this.apply(held, event)
    }
  }

  forget (upstream: UpstreamId): void {
    this.upstreams.delete(upstream)
  }

  /** Tokens of the prompt that the upstream probably has cached. */
  cachedTokens (upstream: UpstreamId, prompt: string): number {
    const held = this.upstreams.get(upstream)
    if (held === undefined || held.seenAt.size === 0) return 0
    const freshAfter = this.options.clock.monotonic() - staleMilliseconds
    const marks = this.marksOf(prompt)
    for (let index = marks.length - 1; index >= 0; index -= 1) {
      const mark = marks[index] as KeyedMark
      if ((held.seenAt.get(mark.key) ?? -Infinity) > freshAfter) return mark.tokens
    }
    return 0
  }

  private apply (held: UpstreamPrefixes, event: PrefixEvent): void {
    if (event.kind === PrefixEventKind.Cleared) held.seenAt.clear()
    else if (event.kind === PrefixEventKind.Removed) held.seenAt.delete(keyOf(event.prefix))
    else this.see(held, keyOf(event.prefix))
  }

  private see (held: UpstreamPrefixes, key: number): void {
    held.seenAt.delete(key)
    held.seenAt.set(key, this.options.clock.monotonic())
    const capacity = Math.max(1, Math.floor(this.options.capacity / this.upstreams.size))
    for (const oldest of held.seenAt.keys()) {
      if (held.seenAt.size <= capacity) return
      held.seenAt.delete(oldest)
    }
  }

  private prefixesOf (upstream: UpstreamId): UpstreamPrefixes {
    const held = this.upstreams.get(upstream)
    if (held !== undefined) return held
    const made = { seenAt: new Map<number, number>(), sequence: 0 }
    this.upstreams.set(upstream, made)
    return made
  }

  /** The prefixes of the last few prompts are kept, since one choice needs them for each upstream. */
  private marksOf (prompt: string): readonly KeyedMark[] {
    const held = this.marksByPrompt.get(prompt)
    if (held !== undefined) return held
    const marks = this.options.form.marks(prompt).map(({ digest, tokens }) => ({ key: keyOf(digest), tokens }))
    this.marksByPrompt.set(prompt, marks)
    const oldest = this.marksByPrompt.keys().next().value
    if (this.marksByPrompt.size > maximumPromptsKept && oldest !== undefined) this.marksByPrompt.delete(oldest)
    return marks
  }
}
