/**
 * Records every run of an order and every outcome reported to its callers, and
 * detects contradictions between them.
 */

import { Outcome } from '@cuminvale/common'
import type { OrderResult } from '@cuminvale/orders'

/** Outcome of an order as reported to a caller. */
export interface ReportedOutcome {
  readonly outcome: Outcome
  readonly answer?: string
}

interface OrderHistory {
  runs: number
  wasReportedNotRun: boolean
  readonly answers: Set<string>
}

export class OrderHistoryChecker {
  private readonly histories = new Map<string, OrderHistory>()
  private failure: Error | undefined

  /** Records a run and returns its answer, which contains the number of the run. */
  recordRun (ticketText: string): Uint8Array {
    const history = this.historyOf(ticketText)
    history.runs += 1
    this.checkHistory(ticketText, history)
    return Buffer.from(`run ${history.runs} of ${ticketText}`)
  }

  /** Records the result that a caller receives. */
  recordReport (ticketText: string, result: OrderResult): ReportedOutcome {
    const history = this.historyOf(ticketText)
    const statement = reportedOutcomeOf(result)
    if (statement.outcome === Outcome.NotRun) history.wasReportedNotRun = true
    if (statement.answer !== undefined) history.answers.add(statement.answer)
    this.checkHistory(ticketText, history)
    return statement
  }

  /** Records a failure; `check` throws the first one. */
  failed (error: unknown): void {
    this.failure ??= error instanceof Error ? error : new Error(String(error))
  }

  /** Throws the first recorded failure, if any. */
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
    if (saidNotRun && runs > 0) this.failed(new Error(`${name} ran although it was reported as not run`))
    if (answers.size > 1) this.failed(new Error(`${name} received ${answers.size} different answers`))
    if (answers.size > 0 && runs === 0) this.failed(new Error(`${name} was reported as done although it did not run`))
  }
}

const reportedOutcomeOf = (result: OrderResult): ReportedOutcome => {
  if (result.isErr) return { outcome: result.error.outcome }
  return { outcome: Outcome.Done, answer: Buffer.from(result.value.body).toString() }
}
