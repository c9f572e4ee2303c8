/**
 * Notes every run of an order and everything that its callers are told, and
 * finds contradictions between them.
 */

import { Outcome } from '@cuminvale/common'
import type { OrderResult } from '@cuminvale/orders'

/** What a caller is told of its order. */
export interface OrderStatement {
  readonly outcome: Outcome
  readonly answer?: string
}

interface OrderHistory {
  runs: number
  wasReportedNotRun: boolean
  readonly answers: Set<string>
}

export class OrderWitness {
  private readonly histories = new Map<string, OrderHistory>()
  private failure: Error | undefined

  /** Notes a run; returns the answer of that run. */
  ran (ticketText: string): Uint8Array {
    const history = this.historyOf(ticketText)
    history.runs += 1
    this.checkHistory(ticketText, history)
    return Buffer.from(`run ${history.runs} of ${ticketText}`)
  }

  told (ticketText: string, result: OrderResult): OrderStatement {
    const history = this.historyOf(ticketText)
    const statement = reportedOutcomeOf(result)
    if (statement.outcome === Outcome.NotRun) history.wasReportedNotRun = true
    if (statement.answer !== undefined) history.answers.add(statement.answer)
    this.checkHistory(ticketText, history)
    return statement
  }

  failed (error: unknown): void {
    this.failure ??= error instanceof Error ? error : new Error(String(error))
  }

  /** Throws what was found wrong, if anything. */
  check (): void {
    if (this.failure !== undefined) throw this.failure
  }

  private historyOf (ticketText: string): OrderHistory {
    const existing = this.histories.get(ticketText)
    if (existing !== undefined) return existing
    const history: OrderHistory = { runs: 0, wasReportedNotRun: false, answers: new Set() }
    this.histories.set(ticketText, history)
    return history
  }

  private checkHistory (ticketText: string, { runs, wasReportedNotRun: saidNotRun, answers }: OrderHistory): void {
    const name = Buffer.from(ticketText.split('.')[0] ?? '', 'base64url').toString()
    if (runs > 1) this.failed(new Error(`${name} ran ${runs} times`))
    if (saidNotRun && runs > 0) this.failed(new Error(`${name} was said not to have run, and ran`))
    if (answers.size > 1) this.failed(new Error(`${name} was answered in ${answers.size} ways`))
    if (answers.size > 0 && runs === 0) this.failed(new Error(`${name} was said to have run, and did not`))
  }
}

const reportedOutcomeOf = (result: OrderResult): OrderStatement => {
  if (result.isErr) return { outcome: result.error.outcome }
  return { outcome: Outcome.Done, answer: Buffer.from(result.value.body).toString() }
}
