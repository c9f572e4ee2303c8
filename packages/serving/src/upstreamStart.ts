/**
 * What this VM knows of the start of an upstream's process: until when it counts
 * as cold, by which sign, and how sure that is. Records tell of a start late, or
 * not at all while the store can't be reached. A sign that the process may have
 * ended, or become cold, therefore makes the start unsure until an inspection of
 * the process, or an answer on a connection from before, shows otherwise.
 */

import type { Clock } from '@cuminvale/common'

/** Signs by which an upstream counts as cold, or as one that may be. */
export const StartSign = {
  /** Its record appeared, or names another start. */
  Appeared: 'appeared',
  /** Its record names a cold time. */
  Announced: 'announced',
  /** Its failure domain returned from an evacuation. */
  Evacuation: 'evacuation',
  /** It was unreachable and answers again. */
  Returned: 'returned',
  /** It named a cold time when it was inspected. */
  Inspected: 'inspected',
  /** Another VM has seen that it is cold. */
  Told: 'told',
  /** It was known from records only when this VM started. */
  Unproven: 'unproven',
  /** A connection to it was lost, refused or silent. */
  Lost: 'lost',
  /** This VM has no connection to it on which an end would show. */
  Unwatched: 'unwatched',
  /** This VM stood still, or was out of touch with the records. */
  Missed: 'missed'
} as const
export type StartSign = typeof StartSign[keyof typeof StartSign]

/** What an upstream said of itself when it was inspected. */
export interface StartInspection {
  /** Monotonic time at which it was asked. */
  readonly askedAt: number
  /** Milliseconds for which it stays cold; 0 if it is warm. */
  readonly coldMilliseconds: number
}

/** Time after a sign from which an answer on an older connection shows that the process runs on; one that came before may be read after it. */
const survivalMilliseconds = 100
/** Added to the cold time that an inspected upstream named, for the time that its answer took. */
const inspectionMarginMilliseconds = 200

export class UpstreamStart {
  /** The sign that was the reason of the current or last cold time. */
  sign: StartSign = StartSign.Appeared
  private coldUntil = 0
  private suspectedAt: number | undefined
  /** Monotonic time at which a start that is unsure can't be cold any more; Infinity before its first answer. */
  private unsureUntil = Infinity
  private lastSuspectedAt = -Infinity
  private provenAt = -Infinity

  constructor (private readonly clock: Clock) {}

  get isCold (): boolean {
    return this.coldMilliseconds > 0
  }

  /** Milliseconds for which it still counts as cold. */
  get coldMilliseconds (): number {
    return Math.max(0, this.coldUntil - this.clock.monotonic())
  }

  /** Whether the process may be another start than the one that is known, or have become cold. */
  get isUnsure (): boolean {
    return this.suspectedAt !== undefined && this.clock.monotonic() < this.unsureUntil
  }

  /** Monotonic time of the last inspection that showed a warm upstream; -Infinity if there was none. */
  get provenWarmAt (): number {
    return this.provenAt
  }

  /** Monotonic time of the last sign that the process may have ended; -Infinity if there was none. */
  get mayHaveEndedAt (): number {
    return this.lastSuspectedAt
  }

  /**
   * Monotonic time since which sends count against the rate of a cold upstream;
   * undefined if it is known to be warm. Without fresh records it is known to be
   * warm only by inspections.
   */
  boundedSince ({ isOutOfTouch }: { readonly isOutOfTouch: boolean }): number | undefined {
    if (this.isCold) return -Infinity
    if (this.isUnsure) return this.suspectedAt
    return isOutOfTouch ? this.provenAt : undefined
  }

  /** Counts it as cold for a time; a shorter one doesn't replace a longer one. Returns false if that changes nothing. */
  markCold (milliseconds: number, sign: StartSign): boolean {
    const until = this.clock.monotonic() + milliseconds
    if (!(milliseconds > 0) || until <= this.coldUntil) return false
    this.coldUntil = until
    this.sign = sign
    return true
  }

  /** Records a sign that the process may have ended or become cold. */
  suspect (sign: StartSign): void {
    if (!this.isCold) this.sign = sign
    this.suspectedAt = this.lastSuspectedAt = this.clock.monotonic()
    this.unsureUntil = Infinity
  }

  /** Records an answer on a connection that was opened at a time; `coldMilliseconds` is how long a start of the service is cold. */
  recordAnswer (openedAt: number, coldMilliseconds: number): void {
    if (this.suspectedAt === undefined) return
    const now = this.clock.monotonic()
    if (openedAt >= this.suspectedAt) this.unsureUntil = Math.min(this.unsureUntil, now + coldMilliseconds)
    else if (now - this.suspectedAt >= survivalMilliseconds) this.suspectedAt = undefined
  }

  /** Records what an inspection showed. Returns whether the upstream counts as cold since. */
  recordInspection ({ askedAt, coldMilliseconds }: StartInspection): boolean {
    if (this.suspectedAt !== undefined && askedAt >= this.suspectedAt) this.suspectedAt = undefined
    if (coldMilliseconds <= 0) {
      this.provenAt = Math.max(this.provenAt, askedAt)
      return false
    }
    const wasCold = this.isCold
    this.markCold(coldMilliseconds + inspectionMarginMilliseconds, StartSign.Inspected)
    return !wasCold
  }

  /** Takes over the signs of the state before, for a record that may be of the process that they were of. */
  continueFrom (earlier: UpstreamStart): void {
    this.coldUntil = Math.max(this.coldUntil, earlier.coldUntil)
    this.suspectedAt = earlier.suspectedAt
    this.unsureUntil = earlier.unsureUntil
    this.lastSuspectedAt = earlier.lastSuspectedAt
    this.sign = earlier.sign
  }
}
