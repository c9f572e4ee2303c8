/**
 * Messages that copy recorded order outcomes to peers in other failure domains
 * and look them up there.
 */

import type { IncarnationId } from '@cuminvale/common'

export interface RecordedAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

export const OrderFinding = {
  Done: 'done',
  /** The incarnation that issued the ticket shut down cleanly without having used it. */
  NotRun: 'not-run',
  /** The peer has no record of the ticket. */
  None: 'none'
} as const

export type OrderFinding = typeof OrderFinding[keyof typeof OrderFinding]

export interface OrderCopy {
  readonly kind: 'orders.copy'
  readonly ticketDigest: string
  /** Time until the ticket expires and the copy may be deleted. */
  readonly remainingMilliseconds: number
  readonly answer: RecordedAnswer
}

/** Confirms that the sender holds a copy. */
export interface OrderCopied {
  readonly kind: 'orders.copied'
  readonly ticketDigest: string
}

/** Tickets that an incarnation had used when it ended. Orders under its other tickets never ran and never will. */
export interface UsedTickets {
  readonly counters: readonly number[]
  /** Nothing is known about tickets up to this counter, since records of expired tickets are deleted. */
  readonly forgottenThrough: number
}

/** Announces that the sender's incarnation is shutting down cleanly. */
export interface OrderClose {
  readonly kind: 'orders.close'
  readonly used: UsedTickets
}

export interface OrderClosed {
  readonly kind: 'orders.closed'
}

/** Asks for the outcome of a ticket. */
export interface OrderAsk {
  readonly kind: 'orders.ask'
  readonly ticketDigest: string
  readonly incarnation: IncarnationId
  readonly counter: number
}

/** Carries the ticket's digest, so that a late reply is never matched to the question about another ticket. */
export interface OrderTell {
  readonly kind: 'orders.tell'
  readonly ticketDigest: string
  readonly finding: OrderFinding
  readonly answer?: RecordedAnswer
}

export type OrderMessage = OrderCopy | OrderCopied | OrderClose | OrderClosed | OrderAsk | OrderTell
