/**
 * Shares the memory for parts of answers that can't be passed on yet: events that
 * have begun, and short answers that are collected. What one answer may hold
 * falls as all of them hold more, so that answers without end, however many,
 * leave room for sound ones, and those that hold most give way first.
 */

/** Part of the free memory that one answer may hold. */
const allowanceShare = 1 / 8
/** What each answer may hold in any case; sound events are far shorter. */
const minimumAllowanceBytes = 16_384

export class HeldBytes {
  private used = 0

  constructor (private readonly maximumBytes: number) {}

  /** Bytes that one answer may hold at this moment. */
  get allowance (): number {
    return Math.max(minimumAllowanceBytes, (this.maximumBytes - this.used) * allowanceShare)
  }

  /** Bytes that are counted as held. */
  get total (): number {
    return this.used
  }

  /** Records that an answer takes more memory. What it gives back counts with the next recount. */
  recordGrowth (bytes: number): void {
    this.used += bytes
  }

  /** Corrects the sum by what all answers under way hold. */
  recount (bytes: number): void {
    this.used = bytes
  }
}
