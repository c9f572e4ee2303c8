/**
 * Records what became of each used ticket, so that an order is sent upstream
 * at most once. Full means that new orders are refused; a record is never
 * forgotten before its ticket has expired.
 */

import type { Result } from 'true-myth'
import { Outcome, RefusalReason, assertInvariant, refuse } from '@cuminvale/common'
import type { Clock, Refusal } from '@cuminvale/common'
import type { RecordedAnswer } from '@cuminvale/messages'
import type { Ticket } from './ticket.js'

export type OrderResult = Result<RecordedAnswer, Refusal>

export const OrderState = {
  /** Accepted, nothing sent yet. */
  Pending: 'pending',
  /** Sent upstream; the outcome is open. */
  Sent: 'sent',
  /** Ended; the result is final. */
  Ended: 'ended'
} as const

export type OrderState = typeof OrderState[keyof typeof OrderState]

interface OrderRecord {
  state: OrderState
  readonly expiresAt: number
  readonly waiters: Array<(result: OrderResult) => void>
  result?: OrderResult
}

export const OrderStep = { Run: 'run', Repeat: 'repeat', Refuse: 'refuse' } as const

/** What to do with an attempt: run it, answer as the first attempt is answered, or refuse. */
export type OrderDecision =
  | { readonly step: typeof OrderStep.Run }
  | { readonly step: typeof OrderStep.Repeat, readonly result: Promise<OrderResult> }
  | { readonly step: typeof OrderStep.Refuse, readonly refusal: Refusal }

export interface OrderLedgerOptions {
  readonly clock: Clock
  readonly capacity: number
}

export class OrderLedger {
  private readonly records = new Map<number, OrderRecord>()

  constructor (private readonly options: OrderLedgerOptions) {}

  get size (): number {
    return this.records.size
  }

  /** Decides on an attempt under a genuine ticket of this incarnation. */
  begin (ticket: Ticket): OrderDecision {
    const record = this.records.get(ticket.counter)
    if (record !== undefined) return { step: OrderStep.Repeat, result: this.resultOf(record) }
    if (ticket.expiresAt <= this.options.clock.wall()) return this.refuseExpired()
    this.forgetExpired()
    if (this.records.size >= this.options.capacity) return this.refuseFull()
    this.records.set(ticket.counter, { state: OrderState.Pending, expiresAt: ticket.expiresAt, waiters: [] })
    return { step: OrderStep.Run }
  }

  /** Must be called in the same turn as the order is handed to a connection. */
  markSent (ticket: Ticket): void {
    const record = this.records.get(ticket.counter)
    assertInvariant(record?.state === OrderState.Pending, 'order-at-most-once',
      () => `ticket ${ticket.counter} sent from state ${record?.state ?? 'none'}`)
    if (record !== undefined) record.state = OrderState.Sent
  }

  /** Takes back a send when the connection or the receiver vouches that nothing was sent on. */
  retractSend (ticket: Ticket): void {
    const record = this.records.get(ticket.counter)
    if (record?.state === OrderState.Sent) record.state = OrderState.Pending
  }

  /** Records the final result; every attempt under the ticket gets the same. */
  end (ticket: Ticket, result: OrderResult): void {
    const record = this.records.get(ticket.counter)
    if (record === undefined || record.state === OrderState.Ended) return
    const claimsNotRun = result.isErr && result.error.outcome === Outcome.NotRun
    assertInvariant(!(claimsNotRun && record.state === OrderState.Sent), 'not-run-is-true',
      () => `ticket ${ticket.counter} was sent but answered not-run`)
    record.state = OrderState.Ended
    record.result = result
    for (const waiter of record.waiters.splice(0)) waiter(result)
  }

  private resultOf (record: OrderRecord): Promise<OrderResult> {
    if (record.result !== undefined) return Promise.resolve(record.result)
    return new Promise((resolve) => record.waiters.push(resolve))
  }

  private forgetExpired (): void {
    const now = this.options.clock.wall()
    for (const [counter, record] of this.records) {
      if (record.expiresAt > now || record.state !== OrderState.Ended) return
      this.records.delete(counter)
    }
  }

  private refuseExpired (): OrderDecision {
    return {
      step: OrderStep.Refuse,
      refusal: refuse(RefusalReason.TicketInvalid, 'the ticket has expired; its order may have run', {
        outcome: Outcome.Unknown
      })
    }
  }

  private refuseFull (): OrderDecision {
    return {
      step: OrderStep.Refuse,
      refusal: refuse(RefusalReason.OrderMemoryFull, 'too many orders are on record', { retryAfterMilliseconds: 1_000 })
    }
  }
}
