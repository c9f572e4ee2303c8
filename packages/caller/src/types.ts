/**
 * Options, requests and answers of the client library.
 */

import type { Outcome } from '@cuminvale/common'

export interface ClientOptions {
  /** Base URLs of some VMs, asked for entries at first and whenever no listed VM answers. */
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
  /** Number of attempts, 1 if the first one was answered. */
  readonly attempts: number
}

/** A VM that takes callers' requests, as `/v1/entries` lists it. */
export interface Entry {
  readonly vm: string
  readonly region: string
  readonly address: string
}
