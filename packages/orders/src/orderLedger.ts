/**
 * Records the outcome of each used ticket of this incarnation, so that an
 * order is sent upstream at most once. A refused ticket is sealed: it never
 * runs later. A full ledger refuses new orders, since a record is never removed
 * before its ticket has expired. Expiry uses the monotonic clock: a wall clock
 * that is set back would revive tickets whose records are gone.
 */

import { Result } from 'true-myth'
import { Outcome, RefusalReason, assertInvariant, refuse } from '@cuminvale/common'
import type { Clock, Refusal } from '@cuminvale/common'
import type { UsedTickets } from '@cuminvale/messages'
import { ledgerSweepIntervalMilliseconds } from './constants.js'
import { SealedTickets } from './sealedTickets.js'
import { OrderState, OrderStep } from './types.js'
import type { LedgerDecision, OrderResult } from './types.js'
import type { Ticket } from './ticket.js'

interface OrderRecord {
  state: OrderState
  readonly requestDigest: string
  readonly expiresAt: number
  readonly waiters: Array<(result: OrderResult) => void>
  result?: OrderResult
}

export interface OrderLedgerOptions {
  readonly clock: Clock
  readonly capacity: number
  /** Bytes of recorded answers at which new orders are refused. */
  readonly capacityBytes?: number
}

const fullRetryAfterMilliseconds = 1_000

export class OrderLedger {
  private readonly records = new Map<number, OrderRecord>()
  private readonly sealed: SealedTickets
  private answerBytes = 0
  private isClosed = false
  private lastSweptAt = 0
  private forgottenThrough = 0

  constructor (private readonly options: OrderLedgerOptions) {
    this.sealed = new SealedTickets(options.clock)
  }

  get size (): number {
    return this.records.size
  }

  get stateBytes (): number {
    return this.answerBytes + this.sealed.stateBytes
  }

  /** Decides on an attempt whose ticket is verified to be of this incarnation. */
  beginAttempt (ticket: Ticket, requestDigest: string): LedgerDecision {
    const record = this.records.get(ticket.counter)
    if (record !== undefined) return this.repeat(record, requestDigest)
    if (this.sealed.isSealed(ticket)) return { step: OrderStep.Repeat, result: Promise.resolve(Result.err(sealedRefusal())) }
    if (this.isExpired(ticket)) return { step: OrderStep.Refuse, refusal: expiredRefusal() }
    if (this.isClosed) return this.sealAndRefuse(ticket, refuse(RefusalReason.Draining, 'the VM is leaving'))
    this.removeExpired()
    if (this.isFull) return this.sealAndRefuse(ticket, fullRefusal())
    this.records.set(ticket.counter, { state: OrderState.Pending, requestDigest, expiresAt: ticket.expiresAt, waiters: [] })
    return { step: OrderStep.Run }
  }

  /**
   * Seals an unused ticket, which makes a refusal decided outside the ledger final.
   * The returned refusal claims `not-run` only if the ticket never ran.
   */
  seal (ticket: Ticket, refusal: Refusal): Refusal {
    if (this.sealed.isSealed(ticket)) return refusal
    if (this.records.has(ticket.counter) || this.isExpired(ticket)) return { ...refusal, outcome: Outcome.Unknown }
    this.sealed.seal(ticket)
    return refusal
  }

  /** Must be called in the event-loop turn in which the order is passed to a connection. */
  markSent (ticket: Ticket): void {
    const record = this.records.get(ticket.counter)
    assertInvariant(record?.state === OrderState.Pending && !this.sealed.isSealed(ticket), 'order-at-most-once',
      () => `ticket ${ticket.counter} sent from state ${record?.state ?? 'none'}`)
    if (record !== undefined) record.state = OrderState.Sent
  }

  /** Undoes `markSent` if the connection or the receiver guarantees that nothing was sent on. */
  retractSend (ticket: Ticket): void {
    const record = this.records.get(ticket.counter)
    if (record?.state === OrderState.Sent) record.state = OrderState.Pending
  }

  /** Records the final result, which every attempt under the ticket gets. */
  recordResult (ticket: Ticket, result: OrderResult): void {
    const record = this.records.get(ticket.counter)
    if (record === undefined || record.state === OrderState.Ended) return
    const claimsNotRun = result.isErr && result.error.outcome === Outcome.NotRun
    assertInvariant(!(claimsNotRun && record.state === OrderState.Sent), 'not-run-is-true',
      () => `ticket ${ticket.counter} was sent but answered not-run`)
    if (claimsNotRun) this.sealAndRemove(ticket)
    else this.storeResult(record, result)
    for (const waiter of record.waiters.splice(0)) waiter(result)
  }

  /** Makes the ledger refuse every unused ticket; returns the used ones. */
  close (): UsedTickets {
    this.isClosed = true
    return { counters: [...this.records.keys()], forgottenThrough: this.forgottenThrough }
  }

  private sealAndRemove (ticket: Ticket): void {
    this.sealed.seal(ticket)
    this.records.delete(ticket.counter)
  }

  private storeResult (record: OrderRecord, result: OrderResult): void {
    record.state = OrderState.Ended
    record.result = result
    if (result.isOk) this.answerBytes += result.value.body.length
  }

  private repeat (record: OrderRecord, requestDigest: string): LedgerDecision {
    if (record.requestDigest !== requestDigest) return { step: OrderStep.Refuse, refusal: requestMismatchRefusal() }
    if (record.result !== undefined) return { step: OrderStep.Repeat, result: Promise.resolve(record.result) }
    return { step: OrderStep.Repeat, result: new Promise((resolve) => record.waiters.push(resolve)) }
  }

  private sealAndRefuse (ticket: Ticket, refusal: Refusal): LedgerDecision {
    return { step: OrderStep.Refuse, refusal: this.seal(ticket, refusal) }
  }

  private get isFull (): boolean {
    const { capacity, capacityBytes } = this.options
    return this.records.size >= capacity || this.answerBytes >= (capacityBytes ?? Infinity)
  }

  private isExpired (ticket: Ticket): boolean {
    return ticket.expiresAt <= this.options.clock.monotonic()
  }

  /** Removes ended records of expired tickets, at most once per interval unless the ledger is full. */
  private removeExpired (): void {
    const now = this.options.clock.monotonic()
    if (now - this.lastSweptAt < ledgerSweepIntervalMilliseconds && !this.isFull) return
    this.lastSweptAt = now
    this.sealed.removeExpired()
    for (const [counter, record] of this.records) {
      if (record.expiresAt <= now && record.state === OrderState.Ended) this.remove(counter, record)
    }
  }

  private remove (counter: number, record: OrderRecord): void {
    this.records.delete(counter)
    this.forgottenThrough = Math.max(this.forgottenThrough, counter)
    if (record.result?.isOk === true) this.answerBytes -= record.result.value.body.length
  }
}

const sealedRefusal = (): Refusal =>
  refuse(RefusalReason.TicketSealed, 'an earlier attempt under the ticket was refused; nothing ran and nothing will')

const expiredRefusal = (): Refusal =>
  refuse(RefusalReason.TicketInvalid, 'the ticket has expired; its order may have run', { outcome: Outcome.Unknown })

const requestMismatchRefusal = (): Refusal =>
  refuse(RefusalReason.TicketInvalid, 'the ticket was used for another request', { outcome: Outcome.Unknown })

const fullRefusal = (): Refusal =>
  refuse(RefusalReason.OrderMemoryFull, 'too many orders are on record', { retryAfterMilliseconds: fullRetryAfterMilliseconds })
