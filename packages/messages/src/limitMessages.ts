/**
 * Shares of teams' rates and bursts between VMs: mutual recognition of the
 * VMs of a region, and loans that end by themselves.
 *
 * Times called `sentAt` are on the clock of the VM that sent the question;
 * the answer repeats them, so that an answer's age is judged by one clock.
 */

import type { IncarnationId, TeamId, VmId } from '@cuminvale/common'

/** Asks a VM of the same region to count the sender as a holder of a share. */
export interface LimitHello {
  readonly kind: 'limits.hello'
  readonly sentAt: number
  /** Whether the sender still has no share, and wants to know all holders. */
  readonly joining: boolean
}

export interface LimitRecognition {
  readonly kind: 'limits.recognition'
  /** Incarnation that asked. */
  readonly to: IncarnationId
  readonly sentAt: number
  readonly recognised: boolean
  /** Whether the answering VM holds a share itself. */
  readonly holding: boolean
  /** VMs that the answering VM counts, told to a joining VM. */
  readonly counted: readonly VmId[]
}

export interface LoanWish {
  readonly team: TeamId
  /** Share of the team's fleet-wide rate and burst, 0 to 1. */
  readonly share: number
  /** Share that the sender has now. */
  readonly held: number
  /** Tokens a second asked of the sender. */
  readonly demand: number
}

/** Asks a peer to lend shares, and to prolong loans it has made. */
export interface LimitBorrow {
  readonly kind: 'limits.borrow'
  readonly sentAt: number
  readonly wishes: readonly LoanWish[]
  readonly renewals: readonly number[]
  /** Incarnation that made the loans to be prolonged. */
  readonly lender: IncarnationId
}

export interface LoanGrant {
  readonly loan: number
  readonly team: TeamId
  readonly share: number
  /** Unspent tokens that move with the share. */
  readonly tokens: number
}

export interface LimitLend {
  readonly kind: 'limits.lend'
  /** Incarnation that asked. */
  readonly to: IncarnationId
  readonly sentAt: number
  /** The loans end this long after `sentAt` on the borrower's clock. */
  readonly durationMilliseconds: number
  readonly grants: readonly LoanGrant[]
  readonly renewed: readonly number[]
}

export interface LoanReturn {
  readonly loan: number
  readonly tokens: number
}

/** Gives loans back before they end. */
export interface LimitReturn {
  readonly kind: 'limits.return'
  readonly lender: IncarnationId
  readonly returns: readonly LoanReturn[]
}

/** Asks the VM that owns a team's bucket for tokens; of the owner policy. */
export interface LimitAsk {
  readonly kind: 'limits.ask'
  readonly ask: number
  readonly team: TeamId
  readonly tokens: number
}

export interface LimitAnswer {
  readonly kind: 'limits.answer'
  readonly ask: number
  readonly granted: boolean
  readonly retryAfterMilliseconds: number
}

export type LimitMessage =
  | LimitHello | LimitRecognition | LimitBorrow | LimitLend | LimitReturn | LimitAsk | LimitAnswer
