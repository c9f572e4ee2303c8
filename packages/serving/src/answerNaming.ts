/**
 * Decides whether an answer is that of the attempt it was read for. Faulty
 * upstreams write an earlier answer once more, which then stands where that of
 * the next request on the connection is expected. Answers name their attempts;
 * one that names none is proven only if its connection had no answer before.
 */

import type { Clock } from '@cuminvale/common'
import type { AttemptId } from './types.js'

/** Time for which an upstream is taken to leave answers unnamed, after one on a reused connection; it may have been a copy. */
const doubtMilliseconds = 30_000

export interface ReceivedAnswer {
  readonly attempt: AttemptId
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean
  /** The attempt that the answer names. */
  readonly named: AttemptId | undefined
  readonly isSuccess: boolean
  readonly isFirstOnConnection: boolean
}

export class AnswerNaming {
  private hasNamed = false
  /** Whether a refusal that was proven named no attempt, and none has named one since. */
  private leavesRefusalsUnnamed = false
  private newConnectionsUntil = -Infinity

  constructor (private readonly clock: Clock) {}

  /** Whether requests that may run only once need new connections, since the upstream leaves answers unnamed that could be copies on others. */
  get needsNewConnections (): boolean {
    return this.clock.monotonic() < this.newConnectionsUntil
  }

  /** Records an answer, and returns whether it is taken for that of the attempt. An unproven one is, if the request may be repeated and the upstream is known for such answers. */
  accepts ({ attempt, isRepeatable, named, isSuccess, isFirstOnConnection }: ReceivedAnswer): boolean {
    if (named !== undefined) {
      this.hasNamed = true
      if (!isSuccess) this.recordNamedRefusal()
      return named === attempt
    }
    if (isFirstOnConnection) {
      if (!isSuccess) this.leavesRefusalsUnnamed = true
      if (isSuccess || this.needsNewConnections) this.newConnectionsUntil = Infinity
      return true
    }
    const doubtEndsAt = this.leavesRefusalsUnnamed ? Infinity : this.clock.monotonic() + doubtMilliseconds
    this.newConnectionsUntil = Math.max(this.newConnectionsUntil, doubtEndsAt)
    return isRepeatable && (!this.hasNamed || (!isSuccess && this.leavesRefusalsUnnamed))
  }

  private recordNamedRefusal (): void {
    this.leavesRefusalsUnnamed = false
    this.newConnectionsUntil = -Infinity
  }
}
