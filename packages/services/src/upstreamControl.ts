/**
 * Control calls to an upstream: load, cache events and orders. Requests
 * themselves go through the byte path of the daemon.
 */

import type { Result } from 'true-myth'
import type { ModelName, RequestId } from '@cuminvale/common'
import type { PlatformError } from './errors.js'

export interface LoadReport {
  readonly running: number
  readonly queued: number
  /** Milliseconds by which the report lags behind. */
  readonly ageMilliseconds: number
  readonly leaving: boolean
}

/** Reported by every upstream, engines and plain services alike. */
export interface LoadSource {
  load (): Promise<Result<LoadReport, PlatformError>>
}

export const CacheEventKind = { Stored: 'stored', Removed: 'removed', Cleared: 'cleared' } as const
export type CacheEventKind = typeof CacheEventKind[keyof typeof CacheEventKind]

export interface CacheEvent {
  /** Rises by one with each event; a jump is a gap. */
  readonly sequence: number
  readonly kind: CacheEventKind
  /** Digest of the prefix that the event is about; empty for `cleared`. */
  readonly prefix: string
  readonly tokens: number
}

export interface EngineState {
  readonly loaded: readonly ModelName[]
  readonly version: string
  readonly role: string
  /** Highest fencing number seen. */
  readonly fence: number
}

export interface EngineOrder {
  readonly wanted: readonly ModelName[]
  readonly version: string
  readonly role: string
  readonly fence: number
}

export interface ModelEngine extends LoadSource {
  cacheEvents (after: number): Promise<Result<readonly CacheEvent[], PlatformError>>
  state (): Promise<Result<EngineState, PlatformError>>
  /** Refused where the engine checks fencing numbers and has seen a higher one. */
  order (order: EngineOrder): Promise<Result<EngineState, PlatformError>>
  cancel (request: RequestId): Promise<Result<boolean, PlatformError>>
  /** Exports the cached keys and values of a prefix; opaque bytes. */
  exportCache (prefix: string): Promise<Result<Uint8Array, PlatformError>>
  importCache (prefix: string, content: Uint8Array): Promise<Result<boolean, PlatformError>>
}
