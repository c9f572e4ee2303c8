/**
 * Decides which requests a VM that has had its stop signal still begins: those
 * that end within its grace. The others are refused before they are sent, so
 * that their callers can take them to another VM; docs/design/rolling-replacement.md.
 */

export interface StopPlanOptions {
  /** Monotonic time at which the signal was sent, as far as it is known. */
  readonly signalledAt: number
  /** Time from the signal until the process must have exited. */
  readonly graceMilliseconds: number
  /** Part of it in which the last answers are sent and the process ends. */
  readonly reserveMilliseconds: number
}

export interface PlannedRequest {
  /** Monotonic time at which it would be sent. */
  readonly now: number
  readonly deadlineAt: number
  /** Time within which such requests end; Infinity if that isn't known. */
  readonly boundMilliseconds: number
  /** Monotonic time by which the answers before it on its connection have ended. */
  readonly precedingEndsAt?: number | undefined
}

/** Part of the time until requests are ended for which new connections are accepted at most. */
const maximumListenShare = 0.8

export class StopPlan {
  readonly signalledAt: number
  /** Monotonic time at which the requests under way are ended. */
  readonly endsAt: number

  constructor ({ signalledAt, graceMilliseconds, reserveMilliseconds }: StopPlanOptions) {
    this.signalledAt = signalledAt
    this.endsAt = signalledAt + graceMilliseconds - reserveMilliseconds
  }

  /** Whether a request ends in time if it is sent now. */
  serves ({ now, deadlineAt, boundMilliseconds, precedingEndsAt = -Infinity }: PlannedRequest): boolean {
    return Math.max(precedingEndsAt, Math.min(deadlineAt, now + boundMilliseconds)) <= this.endsAt
  }

  /** Monotonic time until which new connections are accepted, for callers whose lists still name this VM. */
  listensUntil (milliseconds: number): number {
    return this.signalledAt + Math.min(milliseconds, (this.endsAt - this.signalledAt) * maximumListenShare)
  }
}
