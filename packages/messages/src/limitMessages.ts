/**
 * Messages that divide teams' rates and bursts between VMs. The VMs of a
 * region recognise each other as holders of shares, and lend each other shares
 * for a limited time.
 *
 * `sentAt` is a time on the clock of the VM that sent the request. The reply
 * repeats it, so that the age of a reply is measured on a single clock.
 */

import type { IncarnationId, TeamId, VmId } from '@cuminvale/common'

/** Asks a VM of the same region to recognise the sender as a holder of a share. */
export interface LimitHello {
  readonly kind: 'limits.hello'
  readonly sentAt: number
  /** Whether the sender has no share yet and needs the names of all holders. */
  readonly joining: boolean
}

export interface LimitRecognition {
  readonly kind: 'limits.recognition'
  /** Incarnation that sent the hello. */
  readonly to: IncarnationId
  readonly sentAt: number
  readonly recognised: boolean
  /** Whether the replying VM holds a share itself. */
  readonly holding: boolean
  /** VMs that the replying VM counts as holders; empty unless the receiver is joining. */
  readonly counted: readonly VmId[]
}

export interface LoanRequest {
  readonly team: TeamId
  /** Share of the team's fleet-wide rate and burst, 0 to 1. */
  readonly share: number
  /** Share that the sender has when it asks. */
  readonly held: number
  /** Tokens per second that requests to the sender need. */
  readonly demand: number
}

/** Asks a peer to lend shares and to renew loans that it has granted. */
export interface LimitBorrow {
  readonly kind: 'limits.borrow'
  readonly sentAt: number
  readonly wishes: readonly LoanRequest[]
  /** Loans to renew. */
  readonly renewals: readonly number[]
  /** Incarnation that granted the loans to renew. */
  readonly lender: IncarnationId
}

export interface LoanGrant {
  readonly loan: number
  readonly team: TeamId
  readonly share: number
  /** Unspent tokens that are transferred with the share. */
  readonly tokens: number
}

export interface LimitLend {
  readonly kind: 'limits.lend'
  /** Incarnation that asked for the loans. */
  readonly to: IncarnationId
  readonly sentAt: number
  /** The loans expire this long after `sentAt`, on the borrower's clock. */
  readonly durationMilliseconds: number
  readonly grants: readonly LoanGrant[]
  readonly renewed: readonly number[]
}

export interface LoanReturn {
  readonly loan: number
  readonly tokens: number
}

/** Returns loans before they expire. */
export interface LimitReturn {
  readonly kind: 'limits.return'
  readonly lender: IncarnationId
  readonly returns: readonly LoanReturn[]
}

/** Asks the VM that owns a team's token bucket for tokens. Used only by the owner policy. */
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
