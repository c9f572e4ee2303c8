/**
 * Confirms that the records of this VM are complete up to a moment, by a read of
 * their source that was sent after it. Requests that need this at the same time
 * share a read, and reads are spaced out, since many VMs may need them at once.
 */

import { recordConfirmationIntervalMilliseconds } from './constants.js'
import type { Clock } from '@cuminvale/common'
import type { PublishedRecords } from '@cuminvale/serving'

export interface RecordConfirmationOptions {
  readonly clock: Clock
  readonly records: Pick<PublishedRecords, 'isRestoring'>
  /** Reads and applies the changes up to now; false if that failed. */
  readonly read: () => Promise<boolean>
}

export class RecordConfirmation {
  /** Monotonic time at which the last read that succeeded was sent. */
  private confirmedAt = -Infinity
  /** The same of the last read, whatever came of it. */
  private sentAt = -Infinity
  /** The read that is under way; true if it succeeded. */
  private underWay: Promise<boolean> | undefined

  constructor (private readonly options: RecordConfirmationOptions) {}

  /** Resolves with true once a read has succeeded that was sent at a time or later; with false once one has failed. */
  async confirmSince (time: number): Promise<boolean> {
    while (this.confirmedAt < time && !this.options.records.isRestoring) {
      const isSentSince = this.underWay === undefined || this.sentAt >= time
      this.underWay ??= this.readWhenDue()
      const hasSucceeded = await this.underWay
      // A read that was sent before that time proves nothing, whether it has failed or not.
      if (isSentSince && !hasSucceeded) return false
    }
    return !this.options.records.isRestoring
  }

  private async readWhenDue (): Promise<boolean> {
    const { clock, read } = this.options
    const pauseMilliseconds = this.sentAt + recordConfirmationIntervalMilliseconds - clock.monotonic()
    if (pauseMilliseconds > 0) await new Promise((resolve) => setTimeout(resolve, pauseMilliseconds))
    const sentAt = this.sentAt = clock.monotonic()
    try {
      const hasSucceeded = await read()
      if (hasSucceeded) this.confirmedAt = sentAt
      return hasSucceeded
    } finally {
      this.underWay = undefined
    }
  }
}
