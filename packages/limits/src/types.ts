/**
 * Interface of the rate limiters, which decide whether a team may spend tokens.
 */

import type { Refusal, TeamId } from '@cuminvale/common'
import type { Result } from 'true-myth'
import type { Configuration } from '@cuminvale/documents'

/** Tokens charged for one request until it is settled. */
export interface Charge {
  readonly id: number
  readonly team: TeamId
  readonly tokens: number
}

export type ChargeCallback = (result: Result<Charge, Refusal>) => void

export interface TeamLimiter {
  /** Applies a configuration that has come into force. */
  configure (configuration: Configuration): void
  /** Charges the maximum number of tokens that the request may use, or refuses it. */
  charge (team: TeamId, tokens: number): Result<Charge, Refusal>
  /**
   * Like `charge`, but may wait up to about `maximumLoanWaitMilliseconds` for tokens held by other VMs.
   * Calls `onResult` once.
   */
  chargeOrWait (team: TeamId, tokens: number, onResult: ChargeCallback): void
  /** Promise form of `chargeOrWait`. */
  chargeAsync (team: TeamId, tokens: number): Promise<Result<Charge, Refusal>>
  /** Refunds the charged tokens that a request did not use, or charges those used beyond the charge. */
  settle (charge: Charge, usedTokens: number): void
}
