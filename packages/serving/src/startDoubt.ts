/**
 * Whether an upstream may have started anew since its announcement. One that
 * refused a connection may be back as another start, also with its old id and
 * address, before its new announcement arrives. The doubt ends once it answers
 * again and the records are known to be complete for some time after that.
 */

import type { Clock } from '@cuminvale/common'

/** Time from the first answer of a new start until its announcement is in the records. */
const announcementMilliseconds = 1_000
/** Age of the records beyond which they may lack the announcement of a new start; more than the interval of polls without a change. */
const maximumRecordAgeMilliseconds = 5_000
/** Time since the last answer within which an upstream that failed no connection can't have started anew. */
const recentAnswerMilliseconds = 1_000

export class StartDoubt {
  private isRaised = false
  private answeredAt: number | undefined
  private lastAnswerAt = -Infinity

  constructor (private readonly clock: Clock) {}

  /** Records that the upstream may have ended. */
  raise (): void {
    this.isRaised = true
    this.answeredAt = undefined
  }

  recordAnswer (): void {
    this.lastAnswerAt = this.clock.monotonic()
    if (this.isRaised) this.answeredAt ??= this.lastAnswerAt
  }

  /** Whether the upstream runs as the start that was announced last, by records of the given age. */
  isExcluded (recordAgeMilliseconds: number): boolean {
    const now = this.clock.monotonic()
    if (this.isRaised && this.answeredAt !== undefined && now - recordAgeMilliseconds >= this.answeredAt + announcementMilliseconds) this.isRaised = false
    if (this.isRaised) return false
    return recordAgeMilliseconds <= maximumRecordAgeMilliseconds || now - this.lastAnswerAt <= recentAnswerMilliseconds
  }
}
