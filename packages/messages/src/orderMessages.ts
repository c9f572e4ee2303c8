/**
 * Copies of recorded order outcomes, kept on peers in other failure domains.
 */

import type { IncarnationId } from '@cuminvale/common'

export interface RecordedAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

export const OrderFinding = {
  Done: 'done',
  /** The minting incarnation ended in order without having used the ticket. */
  NotRun: 'not-run',
  /** Nothing is known. */
  None: 'none'
} as const

export type OrderFinding = typeof OrderFinding[keyof typeof OrderFinding]

export interface OrderCopy {
  readonly kind: 'orders.copy'
  readonly ticketDigest: string
  /** Time until the ticket expires and the copy may be forgotten. */
  readonly remainingMilliseconds: number
  readonly answer: RecordedAnswer
}

/** Confirms that a copy is held. */
export interface OrderCopied {
  readonly kind: 'orders.copied'
  readonly ticketDigest: string
}

/** Which tickets an incarnation had used when it ended; the others never ran and never will. */
export interface UsedTickets {
  readonly counters: readonly number[]
  /** Nothing is known of tickets up to this counter: records of expired ones are gone. */
  readonly forgottenThrough: number
}

/** The sender's incarnation ends in order. */
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

/** Names the ticket, so that a late answer cannot be taken for that of another question. */
export interface OrderTell {
  readonly kind: 'orders.tell'
  readonly ticketDigest: string
  readonly finding: OrderFinding
  readonly answer?: RecordedAnswer
}

export type OrderMessage = OrderCopy | OrderCopied | OrderClose | OrderClosed | OrderAsk | OrderTell
