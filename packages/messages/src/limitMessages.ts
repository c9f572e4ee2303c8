/**
 * Loans of rate and burst between the VMs of a region.
 */

import type { TeamId } from '@cuminvale/common'

/** Asks a peer to lend part of a team's budget. */
export interface LimitBorrow {
  readonly kind: 'limits.borrow'
  readonly loan: number
  readonly team: TeamId
  readonly tokens: number
}

/** Grants a loan; zero tokens means that the lender has none to spare. */
export interface LimitLend {
  readonly kind: 'limits.lend'
  readonly loan: number
  readonly team: TeamId
  readonly tokens: number
}

export type LimitMessage = LimitBorrow | LimitLend
