/**
 * Fake control interface of a model engine, in memory: load reports with a lag,
 * cache events with a lag and gaps, orders with fencing numbers, cancellation,
 * and export and import of cached prefixes.
 */

import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { runtimeClock } from '@cuminvale/common'
import { CacheEventKind, PlatformError, PlatformErrorKind } from '@cuminvale/services'
import type { Clock, RequestId } from '@cuminvale/common'
import type { CacheEvent, EngineOrder, EngineState, LoadReport, ModelEngine } from '@cuminvale/services'
import { EngineSlots } from './engineSlots.js'

export interface FakeModelEngineOptions {
  readonly state: EngineState
  /** Whether an order with an outdated fencing number is refused. If false, the number is ignored. */
  readonly checksFencing: boolean
  readonly slots?: number
  readonly loadLagMilliseconds?: number
  readonly cacheEventLagMilliseconds?: number
  /** One cache event in this many is lost; none if undefined. */
  readonly cacheEventLossInterval?: number
  /** Number of prefixes that the cache holds. When it is full, the oldest is evicted. */
  readonly cacheCapacityPrefixes?: number
  readonly clock?: Clock
}

interface DelayedCacheEvent {
  readonly visibleAt: number
  readonly event: CacheEvent
}

interface LoadSample {
  readonly at: number
  readonly running: number
  readonly queued: number
}

const defaultCacheCapacityPrefixes = 1_024
const charactersPerBlock = 256
const charactersPerToken = 4

/** Digests of a prompt's prefixes, one per complete block. Each is chained to the one before, so it identifies all text up to its end. */
export const prefixDigests = (prompt: string): ReadonlyArray<{ readonly prefix: string, readonly tokens: number }> => {
  const digests = []
  let chained = ''
  for (let end = charactersPerBlock; end <= prompt.length; end += charactersPerBlock) {
    chained = createHash('sha256').update(chained).update(prompt.slice(end - charactersPerBlock, end)).digest('base64url')
    digests.push({ prefix: chained, tokens: end / charactersPerToken })
  }
  return digests
}

export class FakeModelEngine implements ModelEngine {
  readonly slots: EngineSlots
  leaving = false
  private engineState: EngineState
  private readonly events: DelayedCacheEvent[] = []
  private sequence = 0
  private readonly cache = new Map<string, Uint8Array>()
  private readonly running = new Map<RequestId, () => void>()
  private readonly samples: LoadSample[] = []
  private readonly clock: Clock

  constructor (private readonly options: FakeModelEngineOptions) {
    this.engineState = options.state
    this.slots = new EngineSlots(options.slots ?? Infinity)
    this.clock = options.clock ?? runtimeClock
  }

  load (): Promise<Result<LoadReport, PlatformError>> {
    const lagMilliseconds = this.options.loadLagMilliseconds ?? 0
    this.recordLoad()
    const reportedAt = this.clock.monotonic() - lagMilliseconds
    while (this.samples.length > 1 && (this.samples[1]?.at ?? Infinity) <= reportedAt) this.samples.shift()
    const reported = this.samples[0]
    return Promise.resolve(Result.ok({
      running: reported?.running ?? 0, queued: reported?.queued ?? 0, ageMilliseconds: lagMilliseconds, leaving: this.leaving
    }))
  }

  /** Records the current load. Reports show it once the lag has passed. */
  recordLoad (): void {
    this.samples.push({ at: this.clock.monotonic(), running: this.slots.running, queued: this.slots.queued })
  }

  cacheEvents (after: number): Promise<Result<readonly CacheEvent[], PlatformError>> {
    const now = this.clock.monotonic()
    return Promise.resolve(Result.ok(this.events
      .filter(({ event, visibleAt }) => event.sequence > after && visibleAt <= now)
      .map(({ event }) => event)))
  }

  state (): Promise<Result<EngineState, PlatformError>> {
    return Promise.resolve(Result.ok(this.engineState))
  }

  order (order: EngineOrder): Promise<Result<EngineState, PlatformError>> {
    if (this.options.checksFencing && order.fence < this.engineState.fence) {
      return Promise.resolve(Result.err(new PlatformError(PlatformErrorKind.Refused, 'old fencing number')))
    }
    if (order.version !== this.engineState.version) this.clearCache()
    this.engineState = {
      loaded: order.wanted, version: order.version, role: order.role, fence: Math.max(order.fence, this.engineState.fence)
    }
    return Promise.resolve(Result.ok(this.engineState))
  }

  /** Registers a running request with the callback that cancels it. */
  registerRequest (id: RequestId, cancel: () => void): void {
    this.running.set(id, cancel)
  }

  unregisterRequest (id: RequestId): void {
    this.running.delete(id)
  }

  cancel (id: RequestId): Promise<Result<boolean, PlatformError>> {
    const cancel = this.running.get(id)
    this.running.delete(id)
    cancel?.()
    return Promise.resolve(Result.ok(cancel !== undefined))
  }

  /** Caches the prefixes of a prompt that has been run, one per complete block. */
  cachePrompt (prompt: string): void {
    for (const { prefix, tokens } of prefixDigests(prompt)) {
      if (!this.cache.has(prefix)) this.store(prefix, Buffer.from(prefix), tokens)
    }
  }

  /** Length in tokens of the longest cached prefix of the prompt. */
  cachedTokens (prompt: string): number {
    return prefixDigests(prompt).findLast(({ prefix }) => this.cache.has(prefix))?.tokens ?? 0
  }

  exportCache (prefix: string): Promise<Result<Uint8Array, PlatformError>> {
    const content = this.cache.get(prefix)
    if (content !== undefined) return Promise.resolve(Result.ok(content))
    return Promise.resolve(Result.err(new PlatformError(PlatformErrorKind.Refused, 'the prefix is not cached')))
  }

  importCache (prefix: string, content: Uint8Array): Promise<Result<boolean, PlatformError>> {
    if (!this.cache.has(prefix)) this.store(prefix, content, 0)
    return Promise.resolve(Result.ok(true))
  }

  private store (prefix: string, content: Uint8Array, tokens: number): void {
    const oldest = this.cache.keys().next().value
    if (oldest !== undefined && this.cache.size >= (this.options.cacheCapacityPrefixes ?? defaultCacheCapacityPrefixes)) {
      this.cache.delete(oldest)
      this.publish(CacheEventKind.Removed, oldest, 0)
    }
    this.cache.set(prefix, content)
    this.publish(CacheEventKind.Stored, prefix, tokens)
  }

  private clearCache (): void {
    this.cache.clear()
    this.publish(CacheEventKind.Cleared, '', 0)
  }

  private publish (kind: CacheEvent['kind'], prefix: string, tokens: number): void {
    this.sequence += 1
    const lossInterval = this.options.cacheEventLossInterval
    // A lost event uses up its sequence number, so that the reader sees a gap.
    if (lossInterval !== undefined && this.sequence % lossInterval === 0) return
    const visibleAt = this.clock.monotonic() + (this.options.cacheEventLagMilliseconds ?? 0)
    this.events.push({ visibleAt, event: { sequence: this.sequence, kind, prefix, tokens } })
  }
}
