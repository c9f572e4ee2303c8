/**
 * The attempts of one request that are under way: the current one, and those
 * whose target is silent. A silent target may be sound, so its attempt is kept
 * until one that was started in its place is answered, or at engines has taken
 * the request.
 */

import { endLocalAttempt, removeForwardedWork } from './attempts.js'
import { maximumOverlapMilliseconds } from './constants.js'
import type { RegionForecasts, ServiceName } from '@cuminvale/serving'
import type { Attempt } from './attempts.js'

/** What becomes of an attempt for which another one is started. */
export const PreviousAttempt = {
  Abort: 'abort',
  /** Its answer is read to the end and discarded. */
  Detach: 'detach',
  /** It stays open until the new attempt is answered, and is used if it goes on before. */
  Keep: 'keep'
} as const
export type PreviousAttempt = typeof PreviousAttempt[keyof typeof PreviousAttempt]

export interface RequestAttemptsOptions {
  readonly forecasts: RegionForecasts
  readonly service: ServiceName
}

export class RequestAttempts {
  /** Whether an attempt that is over may have run; false if all were declined or never sent. */
  mayHaveRun = false
  private currentAttempt: Attempt | undefined
  /** The last attempt whose answer was passed on or held; undefined before that. */
  private answering: Attempt | undefined
  private readonly silent = new Set<Attempt>()
  /** Time since which the current attempt is known to be under way beside silent ones. */
  private overlapsSince: number | undefined

  constructor (private readonly options: RequestAttemptsOptions) {}

  /** The attempt that is waited for; undefined before one is started, and between two. */
  get current (): Attempt | undefined {
    return this.currentAttempt
  }

  get hasSilent (): boolean {
    return this.silent.size > 0
  }

  /** Whether the request may have run or still run. */
  get mayBeRunning (): boolean {
    return this.mayHaveRun || this.currentAttempt !== undefined || this.hasSilent
  }

  isSilent (attempt: Attempt): boolean {
    return this.silent.has(attempt)
  }

  start (attempt: Attempt): void {
    this.overlapsSince = undefined
    this.currentAttempt = attempt
  }

  /** Keeps the current attempt, whose target is silent, while another one is started in its place. */
  keepSilent (attempt: Attempt): void {
    this.silent.add(attempt)
    this.currentAttempt = undefined
  }

  /** Makes an attempt that is answered the only one. False if it is the current one already; others are silent then. */
  reinstate (attempt: Attempt): boolean {
    if (attempt === this.currentAttempt) return false
    if (this.currentAttempt !== undefined) this.abort(this.currentAttempt)
    this.makeCurrent(attempt)
    this.abortSilent()
    return true
  }

  /** Makes the last attempt that fell silent the current one again, after those that were to replace it have failed. */
  returnToSilent (): Attempt | undefined {
    const attempt = [...this.silent].at(-1)
    if (attempt === undefined) return undefined
    this.makeCurrent(attempt)
    // Another attempt may follow after one more silence; a forward has no further sign of receipt that could be overdue.
    attempt.isRetryDenied = attempt.kind === 'forward'
    return attempt
  }

  /**
   * Aborts the silent attempts once the current one has had the request for a
   * time: it was neither declined nor broken off, and two engines would work on it.
   * Returns the attempts that were aborted.
   */
  endOverlap (now: number): readonly Attempt[] {
    if (this.silent.size === 0 || this.currentAttempt?.call.isUnderWay !== true) return []
    this.overlapsSince ??= now
    if (now - this.overlapsSince <= maximumOverlapMilliseconds) return []
    const aborted = [...this.silent]
    this.abortSilent()
    return aborted
  }

  /** Makes an attempt the one whose answer is passed on or held, in place of those that are silent. */
  answer (attempt: Attempt): void {
    this.abortSilent()
    this.answering = attempt
  }

  isAnswering (attempt: Attempt): boolean {
    return attempt === this.answering
  }

  abortSilent (): void {
    for (const attempt of this.silent) this.abort(attempt)
  }

  /** Removes an attempt from the counts of running work; without effect if it has ended. */
  end (attempt: Attempt): void {
    if (attempt === this.currentAttempt) this.currentAttempt = undefined
    else if (!this.silent.delete(attempt)) return
    if (attempt.kind === 'forward') removeForwardedWork(attempt, this.options.forecasts, this.options.service)
    else endLocalAttempt(attempt)
  }

  private makeCurrent (attempt: Attempt): void {
    this.overlapsSince = undefined
    this.silent.delete(attempt)
    this.currentAttempt = attempt
  }

  private abort (attempt: Attempt): void {
    this.mayHaveRun = true
    attempt.call.abort()
    this.end(attempt)
  }
}
