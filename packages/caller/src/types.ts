/**
 * What callers pass to and get from the client library.
 */

import type { Outcome } from '@cuminvale/common'

export interface ClientOptions {
  /** Base URLs of any VMs, to ask for entries first. */
  readonly seeds: readonly string[]
  readonly key: string
  readonly timeoutMilliseconds?: number
}

export interface CallRequest {
  readonly path: string
  readonly method?: string
  readonly body?: unknown
  readonly route?: string
}

export interface CallAnswer {
  readonly status: number
  readonly outcome: Outcome
  readonly vm: string
  readonly requestId: string
  readonly upstream: string
  readonly body: string
  /** Attempts that were made, 1 for the first alone. */
  readonly attempts: number
}

export interface Entry {
  readonly vm: string
  readonly region: string
  readonly address: string
}
