/**
 * Control interface of an upstream: load, cache events and engine orders. The
 * requests of callers are not part of it; the daemon proxies them separately.
 */

import type { Result } from 'true-myth'
import type { ModelName, RequestId } from '@cuminvale/common'
import type { PlatformError } from './errors.js'

export interface LoadReport {
  readonly running: number
  readonly queued: number
  /** Age of the reported figures. */
  readonly ageMilliseconds: number
  readonly leaving: boolean
}

/** Implemented by every upstream, both model engines and plain services. */
export interface LoadSource {
  load (): Promise<Result<LoadReport, PlatformError>>
}

export const CacheEventKind = { Stored: 'stored', Removed: 'removed', Cleared: 'cleared' } as const
export type CacheEventKind = typeof CacheEventKind[keyof typeof CacheEventKind]

export interface CacheEvent {
  /** Increases by one per event; a larger step means that events were lost. */
  readonly sequence: number
  readonly kind: CacheEventKind
  /** Digest of the prompt prefix that was stored or removed; empty for `cleared`. */
  readonly prefix: string
  readonly tokens: number
}

export interface EngineState {
  readonly loaded: readonly ModelName[]
  readonly version: string
  readonly role: string
  /** Highest fencing number that the engine has received. */
  readonly fence: number
}

/** Models, version and role that an engine is told to take on. Unrelated to the orders of callers, which carry tickets. */
export interface EngineOrder {
  readonly wanted: readonly ModelName[]
  readonly version: string
  readonly role: string
  readonly fence: number
}

export interface ModelEngine extends LoadSource {
  cacheEvents (after: number): Promise<Result<readonly CacheEvent[], PlatformError>>
  state (): Promise<Result<EngineState, PlatformError>>
  /** Refused if the engine checks fencing numbers and has received a higher one. */
  order (order: EngineOrder): Promise<Result<EngineState, PlatformError>>
  cancel (id: RequestId): Promise<Result<boolean, PlatformError>>
  /** Exports the cached attention keys and values of a prefix as opaque bytes. */
  exportCache (prefix: string): Promise<Result<Uint8Array, PlatformError>>
  importCache (prefix: string, content: Uint8Array): Promise<Result<boolean, PlatformError>>
}
