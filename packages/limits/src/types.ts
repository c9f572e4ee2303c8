/**
 * The decision whether a team may spend tokens now.
 */

import type { Refusal, TeamId } from '@cuminvale/common'
import type { Result } from 'true-myth'
import type { Configuration } from '@cuminvale/documents'

/** A charge held for one request until it is settled. */
export interface Charge {
  readonly id: number
  readonly team: TeamId
  readonly tokens: number
}

export type ChargeListener = (result: Result<Charge, Refusal>) => void

export interface TeamLimiter {
  /** Adopts a configuration that has come into force. */
  configure (configuration: Configuration): void
  /** Charges the greatest number of tokens that the request may use, or refuses. */
  charge (team: TeamId, tokens: number): Result<Charge, Refusal>
  /** Like `charge`, but may wait a moment for tokens that other VMs hold; the answer comes once. */
  chargeOrWait (team: TeamId, tokens: number, settle: ChargeListener): void
  /** `chargeOrWait` as a promise. */
  chargeSoon (team: TeamId, tokens: number): Promise<Result<Charge, Refusal>>
  /** Returns what a request was charged but did not use, or charges what it used beyond. */
  settle (charge: Charge, usedTokens: number): void
}
